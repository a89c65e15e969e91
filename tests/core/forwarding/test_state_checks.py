"""Contradictions in a desired state are found, sound states have none."""

import attrs

from pistachioseam import findings
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import state_checks
from tests import call_fakes
from tests import support

STATE = call_fakes.create_state(
    accounts=(
        desired.Account(
            name='a', keys=('k',), priority=None, is_isolated=False
        ),
    )
)
ROUTE = STATE.routes[0]


def check_route(**fields: object) -> list[str]:
    """Return the findings for `STATE` with another first route."""
    return check(
        attrs.evolve(
            STATE, routes=(attrs.evolve(ROUTE, **fields), *STATE.routes[1:])
        )
    )


def check(state: desired.DesiredState) -> list[str]:
    """Return the location and severity of each finding."""
    return [
        f'{finding.location.format()} {finding.severity.value}'
        for finding in state_checks.check_state(state, 'f')
    ]


def test_sound_state_has_no_finding(case: support.Case) -> None:
    """Operators would learn to ignore the findings."""
    case.assertEqual([], check(STATE))


def test_route_that_never_matches_is_found(case: support.Case) -> None:
    """Its calls would be served by another route, or by none."""
    second = STATE.routes[1]
    fields = {'host': second.host, 'path_prefix': second.path_prefix}
    shadowed = f'f:routes:{second.name}:path_prefix error'
    case.assertEqual([shadowed], check_route(**fields))
    for host in ('', 'h:80', 'h/x'):
        case.assertEqual(
            ['f:routes:safe:host error'], check_route(host=host), host
        )
    case.assertEqual(
        ['f:routes:safe:path_prefix error'], check_route(path_prefix='x/')
    )
    # A longer prefix takes only the calls that match it.
    case.assertEqual(
        [], check_route(path_prefix=second.path_prefix + 'longer/')
    )


def test_time_limits_contradict_objectives(case: support.Case) -> None:
    """No call could both take as long and be in time."""
    case.assertEqual(
        ['f:routes:safe:objective error'], check_route(objective_seconds=5.1)
    )
    case.assertEqual([], check_route(objective_seconds=5.0))
    case.assertEqual(
        ['f:routes:safe:max_gap error'], check_route(max_gap_seconds=9.0)
    )
    case.assertEqual(
        ['f:routes:safe:timeout error'], check_route(timeout_seconds=0.0)
    )


def test_services_that_cannot_serve_are_found(case: support.Case) -> None:
    """Calls of the route would get 503."""

    def split(*parts: tuple[str, float]) -> list[str]:
        services = tuple(desired.WeightedService(*part) for part in parts)
        return check_route(services=services, has_prompt=True)

    row = 'f:routes:safe:services'
    case.assertEqual([f'{row} error'], split(('none', 1.0)))
    case.assertEqual(
        [f'{row} warning'], split((call_fakes.PLAIN_SERVICE, 1.0))
    )
    engines = call_fakes.ENGINE_SERVICE
    case.assertEqual([], split((engines, 1.0)))
    case.assertEqual([f'{row} warning'], split((engines, 0.0)))
    case.assertEqual(
        [f'{row} error', f'{row} warning'], split((engines, -1.0))
    )


def test_names_and_keys_that_occur_twice_are_found(
    case: support.Case,
) -> None:
    """The last one would be in force, without a word."""
    (account,) = STATE.accounts or ()
    case.assertEqual(
        ['f:accounts:a:name error'],
        check(attrs.evolve(STATE, accounts=(account, account))),
    )
    other = attrs.evolve(account, name='b')
    case.assertEqual(
        ['f:accounts:b:keys[0] error'],
        check(attrs.evolve(STATE, accounts=(account, other))),
    )
    case.assertEqual(
        ['f:accounts:b:keys warning'],
        check(
            attrs.evolve(
                STATE, accounts=(account, attrs.evolve(other, keys=()))
            )
        ),
    )
    services = (*STATE.services, STATE.services[0])
    found = state_checks.check_state(
        attrs.evolve(STATE, services=services), 'f'
    )
    case.assertTrue(findings.has_errors(found))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
