"""Command line interface of `pistachioseamd`."""

import pathlib
import sys

import fire
from returns import pipeline

from pistachioseam_entry import allocators
from pistachioseam_entry import logs
from pistachioseam_entry import reactors
from pistachioseam_entry import settings
from pistachioseam_entry import startup

EXIT_BAD_SETTINGS = 2


def run(settings_file: str) -> None:
    """Run the process of an entry host until SIGTERM or SIGINT.

    Args:
      settings_file: path of the YAML settings.
    """
    loaded = settings.load_settings(pathlib.Path(settings_file))
    if not pipeline.is_successful(loaded):
        for finding in loaded.failure():
            print(finding.format(), file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    options = loaded.unwrap()
    logs.configure_logs(options.logs)
    allocators.return_large_blocks()
    reactors.install_reactor()
    _run_process(options)


def _run_process(options: settings.Settings) -> None:
    # Modules that `process` imports install the default reactor unless another
    # is already installed.
    with startup.speed_up_imports():
        from pistachioseam_entry import process
    reactor = reactors.get_reactor()
    with process.Process(options) as entry_process:
        reactor.addSystemEventTrigger(
            'before', 'shutdown', entry_process.shut_down
        )
        reactor.run()


def main() -> None:
    """Parse the command line and run the process."""
    fire.Fire(run, name='pistachioseamd')
