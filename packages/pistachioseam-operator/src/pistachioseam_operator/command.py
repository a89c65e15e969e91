"""Commands of `pistachioseam`, the operator's command line."""

import asyncio
from collections import abc
import http
import os
import pathlib
import sys
import typing

import attrs
import fire
from returns import pipeline
import yaml

from pistachioseam import findings
from pistachioseam import history
from pistachioseam.history import checkers
from pistachioseam.history import records
from pistachioseam_entry import call_settings
from pistachioseam_entry import reactors
from pistachioseam_entry import settings as entry_settings
from pistachioseam_operator import edits
from pistachioseam_operator.experiments import runs
from pistachioseam_operator.experiments import scenarios
from pistachioseam_operator.experiments import summaries
from pistachioseam_operator import files
from pistachioseam_operator import reference
from pistachioseam_operator import stories

EXIT_CHECK_FAILED = 1
"""Invalid input, a violated promise or no matching log line."""
EXIT_LOST_RACE = 3
EXIT_OPERATION_FAILED = 4
"""No address, or the platform or the hosts did not return a result."""
HOSTS_VARIABLE = 'PISTACHIOSEAM_HOSTS'
PLATFORM_VARIABLE = 'PISTACHIOSEAM_PLATFORM'
ADMIN_TIMEOUT_SECONDS = 5.0

T = typing.TypeVar('T')
# Importing the package registers its checkers.
assert history


def _run_on_reactor(
    create_coroutine: abc.Callable[
        [], abc.Coroutine[typing.Any, typing.Any, T]
    ],
) -> T:
    """Run a coroutine on the Twisted reactor and return its result.

    The HTTP client and the platform client need that reactor.
    """
    reactors.ensure_reactor()
    reactor = reactors.get_reactor()
    tasks: list[asyncio.Future[T]] = []

    def start() -> None:
        task = asyncio.ensure_future(create_coroutine())
        tasks.append(task)
        task.add_done_callback(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    return tasks[0].result()


def _print_findings(found: typing.Iterable[findings.Finding]) -> None:
    """Print one line for each finding."""
    for finding in found:
        print(finding.format())


class Commands:
    """Operate pistachioseam: tables, hosts, requests and histories."""

    def check(
        self,
        *paths: str,
        against: str = '',
        store: str = '',
        capacity: float = 0.0,
        as_json: bool = False,
    ) -> None:
        """Validate table files or a desired state; exit 1 on errors.

        Print all findings, and the differences from the version in force: that
        in the file `against`, or a desired state in the store at an address.
        `capacity` is what the fleet serves, in tokens per second; the quotas
        of a desired state are compared with it.
        """
        # Importing the platform's client needs the installed reactor.
        reactors.ensure_reactor()
        from pistachioseam_operator import file_checks

        former = None
        if store:
            former = _run_on_reactor(lambda: file_checks.read_in_force(store))
            if former is None:
                _exit_operation_failed(f'no desired state in store {store}')
        report = file_checks.check(
            [pathlib.Path(path) for path in paths],
            pathlib.Path(against) if against else None,
            former,
            float(capacity),
        )
        print(report.format_json() if as_json else report.format(), end='')
        if findings.has_errors(report.found):
            sys.exit(EXIT_CHECK_FAILED)

    def tables(self, platform: str = '') -> None:
        """Print both tables as a table file with its base revision."""
        scanned = _run_on_reactor(
            lambda: edits.fetch_tables(_create_table_client(platform))
        )
        if not pipeline.is_successful(scanned):
            _exit_operation_failed(
                'reading the tables from the platform failed: '
                f'{scanned.failure().value}'
            )
        view = scanned.unwrap()
        content: dict[str, typing.Any] = {'base_revision': view.revision}
        for table in files.TABLES:
            content[table] = [
                row.value for row in view.rows if row.key.table == table
            ]
        print(yaml.safe_dump(content, sort_keys=False), end='')

    def apply(self, *paths: str, platform: str = '') -> None:
        """Write table files by compare-and-set; exit 3 on a lost race.

        If the files have a base revision, a race is lost when another edit has
        changed a row since then; without one, only when a row changes while
        the files are applied. Either all files are written or none.
        """
        read = files.read_files([pathlib.Path(path) for path in paths])
        if not pipeline.is_successful(read):
            _print_findings(read.failure())
            sys.exit(EXIT_CHECK_FAILED)
        edit = read.unwrap()
        applied = _run_on_reactor(
            lambda: edits.apply_edit(_create_table_client(platform), edit)
        )
        if pipeline.is_successful(applied):
            print(f'applied as revision {applied.unwrap()}')
            return
        _exit_with_edit_error(applied.failure())

    def dump(self, host: str) -> None:
        """Print the JSON state of the host at an admin address."""
        print(_run_on_reactor(lambda: _fetch_page(host, '/dump')).text)

    def explain(self, request: str, hosts: str = '') -> None:
        """Print how the filters handled a request.

        The admin addresses in `hosts` are queried in order until one has a
        record of the request.
        """
        addresses = hosts or os.environ.get(HOSTS_VARIABLE, '')
        path = f'/explain/{request}'
        page = _run_on_reactor(lambda: _find_page(addresses.split(','), path))
        if page is None:
            _exit_operation_failed(
                f'no host in "{addresses}" has a record of request {request}'
            )
        print(page.text)

    def story(self, request: str, *paths: str) -> None:
        """Print a request's lines from log files, ordered by time.

        Without files, standard input is read. Exit 1 if the request has no
        line.
        """
        lines = _read_lines(paths)
        matching = stories.find_request_lines(lines, str(request))
        for line in matching:
            print(line.format())
        if not matching:
            print(f'no log line of request {request}', file=sys.stderr)
            sys.exit(EXIT_CHECK_FAILED)

    def settings(self) -> None:
        """List all settings of `pistachioseamd` with types and defaults."""
        for line in reference.list_settings(entry_settings.Settings):
            print(line)

    def call_settings(self) -> None:
        """List all settings of `python -m pistachioseam_platform`.

        That program runs a host that forwards calls on the users' platform.
        """
        for line in reference.list_settings(call_settings.CallSettings):
            print(line)

    def events(self) -> None:
        """List the numbered events of the log."""
        for line in reference.list_events():
            print(line)

    def experiment(self, path: str) -> None:
        """Compare placement policies on simulated engines in virtual time."""
        loaded = scenarios.load_experiment(pathlib.Path(path))
        if not pipeline.is_successful(loaded):
            _print_findings(loaded.failure())
            sys.exit(EXIT_CHECK_FAILED)
        for scenario in loaded.unwrap().scenarios:
            print(f'{scenario.name}\n{summaries.format_header()}')
            for row in runs.run_scenario(scenario):
                print(summaries.format_summary(row.summary), flush=True)

    def load(
        self,
        path: str,
        hosts: str,
        key: str,
        model: str,
        rate: float = 10.0,
        piece_bytes: int = 8000,
    ) -> None:
        """Send the load of a file's first scenario to hosts over HTTP.

        `rate` is in requests per second, `key` is the caller's API key and
        `piece_bytes` the size of one piece of a prompt. Print the number of
        requests by outcome and the percentiles of latency.
        """
        loaded = scenarios.load_experiment(pathlib.Path(path))
        if not pipeline.is_successful(loaded):
            _print_findings(loaded.failure())
            sys.exit(EXIT_CHECK_FAILED)
        scenario = loaded.unwrap().scenarios[0]
        # Importing an HTTP library installs Twisted's default reactor if none
        # is installed yet.
        reactors.ensure_reactor()
        from pistachioseam_operator.experiments import load_generators

        options = load_generators.LoadOptions(
            hosts=tuple(hosts.split(',')),
            key=key,
            model=model,
            rate=float(rate),
            piece_bytes=piece_bytes,
        )
        generator = load_generators.LoadGenerator(options)
        _run_on_reactor(lambda: generator.run(scenario, scenario.seeds[0]))
        for line in generator.format_lines():
            print(line)

    def verify(self, path: str) -> None:
        """Check a history file; exit 1 if it violates a promise."""
        lines = pathlib.Path(path).read_text().splitlines()
        recorded = [records.decode(line) for line in lines]
        violations = checkers.check_history(recorded)
        for violation in violations:
            print(f'{violation.at} {violation.promise}: {violation.detail}')
        print(f'{len(recorded)} records, {len(violations)} violations')
        if violations:
            sys.exit(EXIT_CHECK_FAILED)


def _read_lines(paths: abc.Sequence[str]) -> abc.Iterator[str]:
    """Yield the lines of all files, or of standard input without files."""
    if not paths:
        yield from sys.stdin
    for path in paths:
        with pathlib.Path(path).open(errors='replace') as file:
            yield from file


def _create_table_client(platform: str) -> typing.Any:
    """Return a client of the platform's table service.

    An empty address defaults to the value of PLATFORM_VARIABLE.
    """
    # Importing the client needs the reactor that `_run_on_reactor` installs.
    from pistachioseam_entry import platform as platforms

    address = platform or os.environ.get(PLATFORM_VARIABLE, '')
    if not address:
        _exit_operation_failed(
            'no address of the platform: '
            f'pass --platform or set {PLATFORM_VARIABLE}'
        )
    return platforms.PlatformClient(entry_settings.Platform(address=address))


@attrs.frozen
class _Page:
    """HTTP response of an admin address."""

    status: int
    text: str


async def _fetch_page(host: str, path: str) -> _Page:
    """Return a page of an admin address, whatever its status."""
    import treq

    loop = asyncio.get_running_loop()
    async with asyncio.timeout(ADMIN_TIMEOUT_SECONDS):
        response = await treq.get(f'http://{host}{path}').asFuture(loop)
        text = await response.text().asFuture(loop)
    return _Page(response.code, text)


async def _find_page(hosts: abc.Iterable[str], path: str) -> _Page | None:
    """Return the first page with status 200, or None.

    A host whose request fails is reported on standard error and skipped.
    """
    for host in hosts:
        try:
            page = await _fetch_page(host, path)
        except Exception as error:
            print(
                f'request to {host} failed: {type(error).__name__}',
                file=sys.stderr,
            )
            continue
        if page.status == http.HTTPStatus.OK:
            return page
    return None


def _exit_operation_failed(message: str) -> typing.NoReturn:
    """Print a message to standard error and exit 4."""
    print(message, file=sys.stderr)
    sys.exit(EXIT_OPERATION_FAILED)


def _exit_with_edit_error(error: edits.EditError) -> typing.NoReturn:
    """Print why an edit failed and exit with the status of that error."""
    if isinstance(error, edits.LostRace):
        print('lost a race: these rows changed since you read them:')
        for row in error.rows:
            print(f'  {row}')
        print('nothing was written; read the tables again and repeat the edit')
        sys.exit(EXIT_LOST_RACE)
    if isinstance(error, edits.Rejected):
        _print_findings(error.findings)
        print('nothing was written')
        sys.exit(EXIT_CHECK_FAILED)
    _exit_operation_failed(
        f'applying the edit failed: {error.value}; '
        'read the tables to see whether it was written'
    )


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands, name='pistachioseam')
