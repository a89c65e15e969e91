"""Loading settings reports every error with its location."""

import pathlib

import fixtures
from returns import pipeline

from pistachioseam_entry import settings
from tests import support

ROOT = pathlib.Path(__file__).parent.parent.parent
BAD_SETTINGS = """
host: {name: e, domain: d, listen_address: 'host:1', admin_address: 1}
platform: {address: '127.0.0.1:1', poll_seconds: -1, colour: red}
callers: []
logs: {level: LOUD}
placement: {policy: best}
"""


def test_every_error_is_reported_with_its_location(case: support.Case) -> None:
    """Loading an invalid file reports all its errors at once."""
    folder = pathlib.Path(case.useFixture(fixtures.TempDir()).path)
    path = folder / 'bad.yaml'
    path.write_text(BAD_SETTINGS)
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


def test_example_settings_are_valid(case: support.Case) -> None:
    """The example settings load without findings."""
    path = ROOT / 'examples' / 'pistachioseamd.yaml'
    loaded = settings.load_settings(path)
    case.assertTrue(pipeline.is_successful(loaded))


def test_repr_hides_key_digests(case: support.Case) -> None:
    """Key digests stay out of logs and dumps that contain the settings."""
    path = ROOT / 'examples' / 'pistachioseamd.yaml'
    loaded = settings.load_settings(path).unwrap()
    case.assertNotIn(loaded.callers[0].key_sha256, repr(loaded))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
