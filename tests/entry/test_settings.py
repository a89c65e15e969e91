"""Settings are checked whole, with the place of every defect."""

import pathlib

import fixtures
from returns import pipeline

from pistachioseam_entry import settings
from tests import support

ROOT = pathlib.Path(__file__).parent.parent.parent
BAD = """
host: {name: e, domain: d, listen_address: 'host:1', admin_address: 1}
platform: {address: '127.0.0.1:1', poll_seconds: -1, colour: red}
callers: []
logs: {level: LOUD}
placement: {policy: best}
"""


def test_every_defect_is_reported_with_its_place(case: support.Case) -> None:
    """One reading of a bad file names all its defects."""
    folder = pathlib.Path(case.useFixture(fixtures.TempDir()).path)
    path = folder / 'bad.yaml'
    path.write_text(BAD)
    found = settings.load_settings(path).failure()
    text = '\n'.join(finding.format() for finding in found)
    for field in (
        'host.listen_address',
        'host.admin_address',
        'platform.poll_seconds',
        'unknown key: colour',
        'logs.level',
        'placement.policy',
    ):
        case.assertIn(field, text)
    case.assertIn(str(path), text)


def test_the_example_is_valid(case: support.Case) -> None:
    """The example settings load."""
    path = ROOT / 'examples' / 'pistachioseamd.yaml'
    loaded = settings.load_settings(path)
    case.assertTrue(pipeline.is_successful(loaded))


def test_keys_do_not_show_in_a_representation(case: support.Case) -> None:
    """Digests of keys stay out of logs and dumps."""
    path = ROOT / 'examples' / 'pistachioseamd.yaml'
    loaded = settings.load_settings(path).unwrap()
    case.assertNotIn(loaded.callers[0].key_sha256, repr(loaded))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
