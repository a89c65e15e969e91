"""A desired state is checked with the location of each finding."""

import base64
import copy
import json
import typing

from pistachioseam_entry import reactors
from pistachioseam_platform import checks
from tests.entry import test_target_connections
from tests.entry import test_targets
from tests.platform import test_documents
from tests import support

CONFIG = test_documents.CONFIG


def check(document: object, capacity: float = 0.0) -> list[str]:
    """Return the locations of the findings."""
    content = json.dumps(document).encode()
    checked = checks.check_content(content, 'f', capacity)
    return [finding.location.format() for finding in checked.found]


def create_state(**quota: typing.Any) -> dict[str, typing.Any]:
    """Return a desired state whose accounts have a quota."""
    document: dict[str, typing.Any] = copy.deepcopy(CONFIG)
    # One of the route's services has no engines.
    document['routes'][0]['sessionAffinity'] = False
    document['tenants'] = [
        {'name': name, 'apiKeys': [f'key-{name}'], **quota} for name in 'ab'
    ]
    return document


def test_each_undecodable_item_is_located(case: support.Case) -> None:
    """The decoder of hosts stops at the first and names no item."""
    document = create_state()
    del document['routes'][1]['timeoutMs']
    document['services'][0]['engine']['capacity'] = 'many'
    document['tenants'][0] = 7
    case.assertEqual(
        ['f:routes[1]', 'f:services[0]', 'f:tenants[0]'], check(document)
    )
    case.assertEqual(['f:routes'], check({**CONFIG, 'routes': {}}))
    for content in (b'{', b'[]', b'{"services": 1e999}', b'\xff'):
        checked = checks.check_content(content, 'f')
        (finding,) = checked.found
        case.assertEqual('f', finding.location.format())
        case.assertIsNone(checked.content)


def test_sound_quotas_have_no_finding(case: support.Case) -> None:
    """Neither do states without any, nor those of unknown capacity."""
    case.assertEqual([], check(create_state()))
    tokens = {'ratePerS': 1000, 'unit': 'tokens', 'uncachedTokens': 900}
    case.assertEqual([], check(create_state(**tokens)))
    case.assertEqual([], check(create_state(**tokens), 2000.0))
    case.assertEqual([], check(create_state(ratePerS=0, burst=1)))


def test_contradictory_quotas_are_found(case: support.Case) -> None:
    """No call fits, or the fleet cannot serve what is promised."""
    bursts = ['f:tenants:a:burst', 'f:tenants:b:burst']
    case.assertEqual(bursts, check(create_state(ratePerS=9, burst=0.5)))
    tokens = {'ratePerS': 1000, 'unit': 'tokens', 'uncachedTokens': 900}
    case.assertEqual(bursts, check(create_state(**tokens, burst=800)))
    case.assertEqual(
        ['f:tenants:ratePerS'], check(create_state(**tokens), 1999.0)
    )
    rows = ['f:tenants[0]', 'f:tenants[1]']
    case.assertEqual(rows, check(create_state(ratePerS=-1)))
    case.assertEqual(rows, check(create_state(ratePerS='x')))


def test_keys_are_hidden(case: support.Case) -> None:
    """A check's output would give them to whoever reads it."""
    content = json.dumps(create_state()).encode()
    shown = json.dumps(checks.check_content(content, 'f').content)
    case.assertNotIn('key-a', shown)
    case.assertIn('"apiKeys"', shown)


def test_state_in_force_is_read_from_the_store(case: support.Case) -> None:
    """Guards against a comparison with another row, or with none."""
    value = base64.b64encode(b'{}').decode()
    listed = [
        {'key': 'version/m', 'ver': 1, 'value': ''},
        {'key': 'config', 'ver': 2, 'value': value},
    ]

    async def read(*rows: object) -> bytes | None:
        content = json.dumps({'ver': 2, 'rows': rows}).encode()
        answer = test_targets.create_response(test_targets.OK, content)
        async with test_targets.run_server(answer) as server:
            return await checks.read_in_force(server.address)

    async def work() -> None:
        reactor = reactors.get_reactor()
        former = reactor.installNameResolver(test_targets.AddressResolver())
        try:
            case.assertEqual(b'{}', await read(*listed))
            case.assertIsNone(await read(listed[0]))
        finally:
            reactor.installNameResolver(former)

    test_target_connections.run(work)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
