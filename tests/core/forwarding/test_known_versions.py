"""Known versions only grow, and peers restore their ages after a restart."""

from pistachioseam.forwarding import known_versions
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import store_versions
from tests import call_fakes
from tests import support

MODEL = call_fakes.MODEL


def create_cache() -> known_versions.DesiredStateCache:
    """Return an empty cache."""
    return known_versions.DesiredStateCache(call_fakes.Sink())


def name_version(
    cache: known_versions.DesiredStateCache, version: int, now: float
) -> None:
    """Apply a read of the documents that name a weights version."""
    change = ports.DesiredChange(
        state=None, weights={MODEL: version}, cursor=store_versions.FIRST
    )
    cache.apply(change, now)


def test_state_never_goes_back(case: support.Case) -> None:
    """An older or equal version of the state changes nothing."""
    cache = create_cache()
    for version in (3, 5, 4, 5):
        change = ports.DesiredChange(
            state=call_fakes.create_state(version),
            weights={},
            cursor=store_versions.FIRST,
        )
        cache.apply(change, 1.0)
    assert cache.state is not None
    case.assertEqual(5, cache.state.version)


def test_age_counts_from_the_first_newer_version(case: support.Case) -> None:
    """A version is behind since any newer one was named."""
    cache = create_cache()
    name_version(cache, 1, 0.0)
    name_version(cache, 2, 10.0)
    name_version(cache, 4, 13.0)
    case.assertEqual(0.0, cache.get_lag_seconds(MODEL, 4, 20.0))
    case.assertEqual(7.0, cache.get_lag_seconds(MODEL, 2, 20.0))
    case.assertEqual(10.0, cache.get_lag_seconds(MODEL, 1, 20.0))


def test_restarted_host_learns_ages_from_peers(case: support.Case) -> None:
    """A restarted host reads only the newest version, without its age.

    Peers send the ages, also those of versions that it never read.
    """
    peer = create_cache()
    for version, now in ((1, 0.0), (2, 10.0), (3, 14.0)):
        name_version(peer, version, now)
    restarted = create_cache()
    name_version(restarted, 3, 16.0)
    case.assertFalse(restarted.is_lag_known(MODEL, 1))
    for named in peer.list_named_weights(16.0):
        restarted.merge_named_weights(named, 16.0)
    case.assertTrue(restarted.is_lag_known(MODEL, 1))
    case.assertEqual(6.0, restarted.get_lag_seconds(MODEL, 1, 16.0))
    case.assertEqual(2.0, restarted.get_lag_seconds(MODEL, 2, 16.0))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
