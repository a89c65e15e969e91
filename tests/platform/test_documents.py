"""Documents of the store are decoded, or rejected with a reason."""

import copy
import typing

from pistachioseam.forwarding import desired
from pistachioseam_platform import documents
from tests import support

CONFIG: dict[str, typing.Any] = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'Jepu9.example',
            'prefix': '/a/',
            'kind': 'streaming',
            'timeoutMs': 5000,
            'targetLatencyMs': 800,
            'priority': 1,
            'trafficSplit': [
                {'service': 's-1', 'weight': 90},
                {'service': 's-2', 'weight': 10},
            ],
            'attempts': 2,
            'public': False,
            'sessionAffinity': True,
            'resumable': True,
            'targetGapMs': 400,
        },
        {
            'name': 'r-2',
            'host': 'jepu9.example',
            'prefix': '/a/b/',
            'kind': 'unsafe',
            'timeoutMs': 2000,
            'service': 's-2',
        },
    ],
    'services': [
        {
            'name': 's-1',
            'healthCheck': '/health',
            'maxConnections': 630,
            'engine': {
                'capacity': 128,
                'kvCapacityTokens': 88566,
                'kvTokenBytes': 262144,
                'bandwidthMbps': 1100000.0,
                'models': [{'name': 'm-1'}],
            },
        },
        {'name': 's-2'},
        {
            'name': 's-3',
            'kvStoreAddr': '172.20.0.2:8781',
            'zone': 'z-1',
            'kvCapacityTokens': 100,
            'bandwidthMbps': 8.0,
        },
    ],
    'limits': {
        'headerBytes': 100,
        'maxBodyBytes': 200,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
    'tenants': [
        {'name': 't-1', 'apiKeys': ['k-1'], 'priority': 0, 'isolated': True}
    ],
}
ENTRY: dict[str, typing.Any] = {
    'service': 's-1',
    'address': '10.128.0.9:8080',
    'zone': 'z-1',
    'version': 'v1',
    'capacity': 128,
    'state': 'ready',
    'coldRemainingMs': 500,
    'models': [{'name': 'm-1', 'version': 3, 'adapters': []}],
    'seq': 4,
    'born': 1700000000000,
}


def test_desired_state_is_decoded(case: support.Case) -> None:
    """Kinds, durations, limits and bandwidths are converted.

    The results have the router's types and units.
    """
    state = documents.decode_desired(CONFIG)
    route = state.find_route('jepu9.example', '/a/x')
    assert route is not None
    case.assertIs(desired.CallSemantics.RESUMABLE, route.semantics)
    case.assertEqual(5.0, route.timeout_seconds)
    case.assertEqual(2, route.max_targets)
    longer = state.find_route('jepu9.example', '/a/b/x')
    assert longer is not None
    case.assertIs(desired.CallSemantics.ONCE, longer.semantics)
    case.assertIsNone(state.find_route('jepu9.example', '/c/'))
    case.assertEqual(15.0, state.limits.idle_seconds)
    account = state.find_account('k-1')
    case.assertTrue(account is not None and account.is_isolated)
    store = state.list_cache_stores()[0]
    case.assertEqual(1_000_000.0, store.bytes_per_second)


def test_traffic_split_follows_weights(case: support.Case) -> None:
    """A tenth of the total weight gets about a tenth of the calls."""
    route = documents.decode_desired(CONFIG).routes[0]
    chosen = [route.select_service(f'id-{n}') for n in range(2000)]
    case.assertAlmostEqual(0.1, chosen.count('s-2') / len(chosen), delta=0.03)


def test_malformed_desired_state_is_rejected(case: support.Case) -> None:
    """A document without a required field is rejected as a whole."""
    for field in ('version', 'routes', 'services'):
        document = copy.deepcopy(CONFIG)
        del document[field]
        with case.assertRaises(documents.MalformedError):
            documents.decode_desired(document)


def test_quotas_are_decoded(case: support.Case) -> None:
    """A rate of 0, or none, means no quota; an odd one is rejected."""

    def decode(**fields: object) -> desired.Quota | None:
        tenant = {**CONFIG['tenants'][0], **fields}
        document = {**CONFIG, 'tenants': [tenant]}
        return documents.decode_desired(document).find_quota('t-1')

    case.assertIsNone(decode())
    case.assertIsNone(decode(ratePerS=0, burst=5, unit='tokens'))
    case.assertIsNone(decode(ratePerS=None))
    case.assertEqual(
        desired.Quota(
            rate_per_second=127000.0,
            burst=254000.0,
            counts_tokens=True,
            uncounted_cost=900.0,
        ),
        decode(
            ratePerS=127000, burst=254000, unit='tokens', uncachedTokens=900
        ),
    )
    case.assertEqual(
        desired.Quota(rate_per_second=2.5, burst=2.5),
        decode(ratePerS=2.5, unit='requests'),
    )
    for field, value in (
        ('ratePerS', -1),
        ('ratePerS', 'many'),
        ('burst', -1),
        ('burst', [3]),
        ('uncachedTokens', -5),
    ):
        with case.assertRaises(documents.MalformedError, msg=field):
            decode(**{'ratePerS': 1, field: value})


def test_target_entry_is_decoded(case: support.Case) -> None:
    """Weights, start time and remaining warm-up time are decoded."""
    target = documents.decode_target('i-1', ENTRY)
    case.assertEqual(('i-1', 1700000000000), target.get_incarnation())
    case.assertEqual({'m-1': 3}, dict(target.weights))
    case.assertEqual(0.5, target.cold_seconds)
    case.assertTrue(target.is_ready)
    case.assertEqual('v1', target.software_version)


def test_malformed_target_entries_are_rejected(case: support.Case) -> None:
    """Missing fields, wrong types and unknown states are rejected."""
    defects: tuple[tuple[str, object], ...] = (
        ('service', None),
        ('service', 5),
        ('address', 'nowhere'),
        ('address', 7),
        ('address', 'localhost:80'),
        ('address', '10.0.0.1:\N{SUPERSCRIPT TWO}'),
        ('address', '10.0.0.1:70000'),
        ('zone', ['z']),
        ('state', 'sleeping'),
        ('state', True),
        ('capacity', '128'),
        ('capacity', True),
        ('born', 1.5),
        ('born', 'now'),
        ('born', True),
        ('born', float('inf')),
        ('born', float('nan')),
        ('born', 2**64),
        ('capacity', 10**400),
        ('coldRemainingMs', float('inf')),
        ('coldRemainingMs', 10**400),
        ('coldRemainingMs', 'x'),
        ('models', 'm-1'),
        ('models', [{'name': 'm-1'}]),
    )
    for field, value in defects:
        with case.assertRaises(documents.MalformedError, msg=field):
            documents.decode_target('i-1', {**ENTRY, field: value})


def test_weights_are_decoded(case: support.Case) -> None:
    """Model and version are decoded.

    A version that is not an integer is rejected.
    """
    case.assertEqual(
        ('m-1', 2), documents.decode_weights({'model': 'm-1', 'version': 2})
    )
    with case.assertRaises(documents.MalformedError):
        documents.decode_weights({'model': 'm-1', 'version': '2'})


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
