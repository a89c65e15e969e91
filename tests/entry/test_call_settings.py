"""Settings of forwarding hosts load with and without the quotas' section."""

import pathlib
import re
import typing

import fixtures

from pistachioseam.forwarding import quotas
from pistachioseam_entry import call_settings
from tests import support

TEMPLATE = (
    pathlib.Path(__file__).parent.parent.parent / 'deploy' / 'settings.yaml'
)
VALUES: dict[str, typing.Any] = {
    'node|json': '"node"',
    'zone|json': '"zone"',
    'listenAddrs.front|json': '"10.0.0.1:80"',
    'listenAddrs.ready|json': '"10.0.0.1:81"',
    'ip': '10.0.0.1',
    'internalPorts.0': '82',
    'provider.address|json': '"10.0.0.2:80"',
    '.|json': '"region"',
    '@': 'zone',
    'guarantees.revokeMs': '1000',
    'guarantees.versionMs': '2000',
    'guarantees.leaseMs': '3000',
    'guarantees.graceS': '20',
    'guarantees.drainMs': '3000',
    'guarantees.retryBudgetRatio': '0.2',
    'guarantees.budgetWindowS': '10',
    'guarantees.retryBudgetSlack': '20',
}
LIMIT_VALUES = {'limits.memoryMb': '128', 'limits.maxFds': '4100'}
QUOTA_VALUES = {
    'guarantees.quotaWindowS': '8',
    'guarantees.quotaOverage': '0.1',
    'guarantees.quotaSlack': '110000',
}


def render(values: dict[str, typing.Any]) -> str:
    """Return the template with its values, as the platform renders it.

    A section is left out where its value does not exist.
    """
    text = re.sub(
        r'\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n',
        lambda found: (
            found[2] if found[1] == 'zones' or found[1] in values else ''
        ),
        TEMPLATE.read_text(),
        flags=re.DOTALL,
    )
    return re.sub(r'\{\{(.*?)\}\}', lambda found: values[found[1]], text)


def test_template_renders_valid_settings(case: support.Case) -> None:
    """Hosts of deployments without quotas did not start, or those with."""
    folder = pathlib.Path(case.useFixture(fixtures.TempDir()).path)
    path = folder / 'settings.yaml'
    for values, expected in (
        (VALUES, quotas.QuotaTerms()),
        (
            {**VALUES, **QUOTA_VALUES},
            quotas.QuotaTerms(
                window_seconds=8.0, overage=0.1, slack=110_000.0
            ),
        ),
    ):
        path.write_text(render(values))
        loaded = call_settings.load_call_settings(path).unwrap()
        case.assertEqual(expected, loaded.quotas)
    path.write_text(render({**VALUES, **LIMIT_VALUES}))
    loaded = call_settings.load_call_settings(path).unwrap()
    case.assertEqual(128, loaded.capacity.memory_mb)
    case.assertEqual(4100, loaded.capacity.max_descriptors)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
