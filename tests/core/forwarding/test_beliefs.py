"""Knowledge only moves forward, and ages survive restarts through peers."""

from pistachioseam.forwarding import beliefs
from pistachioseam.forwarding import ports
from tests import call_fakes
from tests import support

MODEL = call_fakes.MODEL


def create_keeper() -> beliefs.DesiredKeeper:
    """Return a keeper that knows nothing."""
    return beliefs.DesiredKeeper(call_fakes.Sink())


def name(keeper: beliefs.DesiredKeeper, version: int, now: float) -> None:
    """Let the keeper read that a version is named."""
    change = ports.DesiredChange(
        state=None, weights={MODEL: version}, cursor=version
    )
    keeper.apply(change, now)


def test_state_never_goes_back(case: support.Case) -> None:
    """An older or equal version of the state changes nothing."""
    keeper = create_keeper()
    for version in (3, 5, 4, 5):
        change = ports.DesiredChange(
            state=call_fakes.create_state(version), weights={}, cursor=1
        )
        keeper.apply(change, 1.0)
    assert keeper.state is not None
    case.assertEqual(5, keeper.state.version)


def test_age_counts_from_the_first_newer_version(case: support.Case) -> None:
    """A version is behind since any newer one was named."""
    keeper = create_keeper()
    name(keeper, 1, 0.0)
    name(keeper, 2, 10.0)
    name(keeper, 4, 13.0)
    case.assertEqual(0.0, keeper.get_behind_seconds(MODEL, 4, 20.0))
    case.assertEqual(7.0, keeper.get_behind_seconds(MODEL, 2, 20.0))
    case.assertEqual(10.0, keeper.get_behind_seconds(MODEL, 1, 20.0))


def test_restarted_host_learns_ages_from_peers(case: support.Case) -> None:
    """It knows no age at first, then those of versions it never read."""
    peer = create_keeper()
    for version, now in ((1, 0.0), (2, 10.0), (3, 14.0)):
        name(peer, version, now)
    restarted = create_keeper()
    name(restarted, 3, 16.0)
    case.assertFalse(restarted.is_age_known(MODEL, 1))
    for age in peer.list_ages(16.0):
        restarted.merge_age(age, 16.0)
    case.assertTrue(restarted.is_age_known(MODEL, 1))
    case.assertEqual(6.0, restarted.get_behind_seconds(MODEL, 1, 16.0))
    case.assertEqual(2.0, restarted.get_behind_seconds(MODEL, 2, 16.0))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
