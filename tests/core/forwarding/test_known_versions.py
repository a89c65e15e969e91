"""Known versions only grow, and peers restore their ages after a restart."""

import random

from pistachioseam import events
from pistachioseam.forwarding import known_versions
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import store_clocks
from pistachioseam.forwarding import store_versions
from tests import call_fakes
from tests import clocks
from tests import support

MODEL = call_fakes.MODEL
STORE_SECONDS = 5000.0
"""Time of the store's clock when that of the host is 0."""


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


def test_copy_of_a_report_takes_no_weights_back(case: support.Case) -> None:
    """The versions of an engine's incarnation only grow."""

    async def run() -> None:
        target = call_fakes.create_target(1, call_fakes.ENGINE_SERVICE)
        weights = call_fakes.RouterFixture([target]).router.weights
        for version in (2, 4, 3, 2):
            weights.record(target, MODEL, version)
        case.assertEqual(4, weights.get_confirmed(target, MODEL))

    clocks.run(run())


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
    peer = create_reader(3)
    restarted = create_restarted(3, 26.0)
    case.assertFalse(restarted.is_lag_known(MODEL, 1))
    for named in peer.list_named_weights(26.0):
        restarted.merge_named_weights(named, 26.0)
    for version in (1, 2):
        case.assertTrue(restarted.is_lag_known(MODEL, version))
        for host in (peer, restarted):
            lag_seconds = host.get_lag_seconds(MODEL, version, 26.0)
            least = 26.0 - 10.0 * version
            case.assertLessEqual(least, lag_seconds)
            case.assertLessEqual(lag_seconds, least + 1.1)


def test_lag_of_a_version_before_the_dated_ones_is_unknown(
    case: support.Case,
) -> None:
    """Peers send three dates; older weights counted from the first of them."""
    peer = create_reader(5)
    restarted = create_restarted(5, 43.0)
    for named in peer.list_named_weights(43.0):
        restarted.merge_named_weights(named, 43.0)
    case.assertFalse(restarted.is_lag_known(MODEL, 1))
    for version in (2, 3, 4, 5):
        case.assertTrue(restarted.is_lag_known(MODEL, version), version)


def test_dates_of_former_builds_make_no_lag_known(case: support.Case) -> None:
    """They tell when hosts learned of a version, not since when it may be."""
    restarted = create_restarted(3, 26.0)
    for version in (2, 3):
        restarted.merge_named_weights(
            known_versions.NamedWeights(MODEL, version, 2.0), 26.0
        )
    case.assertFalse(restarted.is_lag_known(MODEL, 1))
    case.assertFalse(restarted.is_lag_known(MODEL, 2))
    case.assertEqual(2.0, restarted.get_lag_seconds(MODEL, 2, 26.0))


def create_named(
    version: int, seconds: float, predecessor: int, era: int = 0
) -> known_versions.NamedWeights:
    """Return a peer's date: named after a time of the store, 1 s ago."""
    after = store_clocks.StoreTime(era, STORE_SECONDS + seconds)
    return known_versions.NamedWeights(MODEL, version, 1.0, after, predecessor)


def create_follower(*versions: int) -> known_versions.DesiredStateCache:
    """Return a cache that read the versions at 0, 10, 20 s, unsure by 5 s."""
    cache = create_cache()
    for number, version in enumerate(versions):
        now = 10.0 * number
        cache.store_clock.record(
            store_versions.FIRST, STORE_SECONDS + now, now, now
        )
        change = ports.DesiredChange(
            state=None, weights={MODEL: version}, cursor=store_versions.FIRST
        )
        cache.apply(change, now, 5.0 if number else float('inf'))
    return cache


def create_reader(newest: int) -> known_versions.DesiredStateCache:
    """Return a cache that read a version each 10 s, 1 s after the store."""
    cache = create_cache()
    for version in range(1, newest + 1):
        now = 10.0 * (version - 1)
        row = store_versions.StoreVersion(0, version)
        cache.store_clock.record(
            store_versions.StoreVersion(0, version - 1),
            STORE_SECONDS + now - 1.0,
            now - 1.0,
            now - 1.0,
        )
        change = ports.DesiredChange(
            state=None,
            weights={MODEL: version},
            cursor=row,
            weights_rows={MODEL: row},
        )
        cache.apply(change, now, 5.0 if now else float('inf'))
    return cache


def create_restarted(
    version: int, now: float
) -> known_versions.DesiredStateCache:
    """Return a cache whose first read brought a version."""
    cache = create_cache()
    cache.store_clock.record(
        store_versions.FIRST, STORE_SECONDS + now, now, now
    )
    name_version(cache, version, now)
    return cache


def test_peers_narrow_the_date_of_a_version(case: support.Case) -> None:
    """Followers refused calls for weights over a second too early."""
    cache = create_follower(1, 2)
    case.assertEqual(6.0, cache.get_lag_seconds(MODEL, 1, 11.0))
    cache.merge_named_weights(create_named(2, 9.0, 1), 11.0)
    case.assertAlmostEqual(2.0, cache.get_lag_seconds(MODEL, 1, 11.0), 1)
    case.assertLessEqual(2.0, cache.get_lag_seconds(MODEL, 1, 11.0))
    for named in (create_named(2, 8.0, 1), create_named(2, 9.5, 1, era=3)):
        cache.merge_named_weights(named, 11.0)
    case.assertAlmostEqual(2.0, cache.get_lag_seconds(MODEL, 1, 11.0), 1)
    relayed = cache.list_named_weights(11.0)[-1]
    case.assertEqual(create_named(2, 9.0, 1).after, relayed.after)
    case.assertEqual(1, relayed.predecessor)


def test_changes_of_a_date_are_logged(case: support.Case) -> None:
    """The log did not tell when and by whom a version was dated anew."""
    sink = call_fakes.Sink()
    cache = known_versions.DesiredStateCache(sink)
    name_version(cache, 1, 0.0)
    name_version(cache, 2, 10.0)
    cache.store_clock.record(
        store_versions.FIRST, STORE_SECONDS + 10.0, 10.0, 10.0
    )
    for _ in range(3):
        cache.merge_named_weights(create_named(2, 9.0, 1), 11.0)
    cache.merge_named_weights(create_named(2, 9.05, 1), 11.0)
    dated = [
        (fields['version'], fields['after'], fields['by'], fields['source'])
        for kind, fields in sink.events
        if kind is events.Event.WEIGHTS_DATED
    ]
    case.assertEqual(
        [
            (1, None, 0.0, 'store'),
            (2, None, 0.0, 'store'),
            (2, 2.002, 1.0, 'peer'),
        ],
        dated,
    )


def test_date_of_a_version_does_not_stand_for_one_before(
    case: support.Case,
) -> None:
    """Weights were taken for replaced since a later version only."""
    cache = create_follower(1, 3)
    undated = known_versions.NamedWeights(MODEL, 2, 1.5)
    for named in (
        create_named(3, 9.0, 2),
        undated,
        create_named(3, 9.0, 2),
        create_named(3, 9.0, 3),
    ):
        cache.merge_named_weights(named, 10.0)
        case.assertEqual(5.0, cache.get_lag_seconds(MODEL, 1, 10.0))
    for named in (create_named(2, 6.0, 1), create_named(3, 9.0, 2)):
        cache.merge_named_weights(named, 10.0)
    case.assertAlmostEqual(4.0, cache.get_lag_seconds(MODEL, 1, 10.0), 1)
    case.assertAlmostEqual(1.0, cache.get_lag_seconds(MODEL, 2, 10.0), 1)


def test_earlier_receipt_by_a_peer_corrects_a_date(
    case: support.Case,
) -> None:
    """The date began after a peer knew the version."""
    cache = create_follower(1, 2)
    cache.merge_named_weights(create_named(2, 9.5, 1), 11.0)
    early = known_versions.NamedWeights(MODEL, 2, 4.0)
    cache.merge_named_weights(early, 11.0)
    cache.merge_named_weights(create_named(2, 9.5, 1), 11.0)
    restarted = create_restarted(2, 11.0)
    restarted.merge_named_weights(cache.list_named_weights(11.0)[-1], 11.0)
    for host in (cache, restarted):
        case.assertEqual(4.0, host.get_lag_seconds(MODEL, 1, 11.0))
        case.assertTrue(host.is_lag_known(MODEL, 1))


def test_date_after_its_receipt_is_ignored(case: support.Case) -> None:
    """The store's clock was set; replaced weights counted from a receipt."""
    cache = create_follower(1, 2)
    cache.merge_named_weights(create_named(2, 11.5, 1), 11.0)
    case.assertEqual(6.0, cache.get_lag_seconds(MODEL, 1, 11.0))
    case.assertIsNone(cache.list_named_weights(11.0)[-1].after)
    restarted = create_restarted(2, 11.0)
    restarted.merge_named_weights(create_named(2, 11.5, 1), 11.0)
    case.assertFalse(restarted.is_lag_known(MODEL, 1))


def test_date_waits_for_its_version(case: support.Case) -> None:
    """It was dropped if a peer learned of the version earlier."""
    cache = create_follower(1, 2)
    named = create_named(3, 19.0, 2)
    cache.merge_named_weights(named, 19.5)
    case.assertEqual(2, cache.get_newest_version(MODEL))
    cache.store_clock.record(
        store_versions.FIRST, STORE_SECONDS + 20.0, 20.0, 20.0
    )
    change = ports.DesiredChange(
        state=None, weights={MODEL: 3}, cursor=store_versions.FIRST
    )
    cache.apply(change, 20.0, 5.0)
    case.assertAlmostEqual(1.5, cache.get_lag_seconds(MODEL, 2, 20.0), 1)
    case.assertEqual(1.5, cache.list_named_weights(20.0)[-1].age_seconds)


def test_waiting_dates_are_bounded(case: support.Case) -> None:
    """Dates of versions that the operators never name filled the memory."""
    cache = create_follower(1)
    for version in range(2, 200):
        cache.merge_named_weights(create_named(version, 1.0, 1), 1.0)
    case.assertEqual(known_versions.MAX_WAITING_DATES, len(cache._waiting))


def test_dates_are_never_too_late(case: support.Case) -> None:
    """Hosts that skip versions combined dates that do not fit together."""
    for seed in range(300):
        draw = random.Random(seed)
        hosts = [*(create_follower(1) for _ in range(3)), create_cache()]
        named_at = {1: 0.0}
        for number in range(2, 9):
            named_at[number] = named_at[number - 1] + draw.uniform(0.1, 3.0)
        read_at: list[float | None] = [0.0, 0.0, 0.0, None]
        first_read = [1, 1, 1, 0]
        now = 0.0
        for _ in range(40):
            now += draw.uniform(0.0, 1.5)
            number = draw.randrange(len(hosts))
            host, peer = hosts[number], draw.choice(hosts)
            newest = max(v for v, at in named_at.items() if at <= now)
            version = store_versions.StoreVersion(0, newest)
            if draw.random() < 0.5:
                host.store_clock.record(
                    version, STORE_SECONDS + now, now - 0.1, now + 0.1
                )
            if draw.random() < 0.5:
                change = ports.DesiredChange(
                    state=None,
                    weights={MODEL: newest},
                    cursor=version,
                    weights_rows={MODEL: version},
                )
                cursor = store_versions.StoreVersion(
                    0, host.get_newest_version(MODEL)
                )
                confirmed_at = read_at[number]
                if confirmed_at is None:
                    first_read[number] = newest
                    host.apply(change, now)
                else:
                    host.apply(change, now, now - confirmed_at, cursor)
                read_at[number] = now
            if read_at[number] is None:
                continue
            for named in peer.list_named_weights(now):
                host.merge_named_weights(named, now + 0.05)
            for old in range(1, host.get_newest_version(MODEL)):
                is_known = host.is_lag_known(MODEL, old)
                case.assertTrue(is_known or old < first_read[number])
                if not is_known:
                    continue
                lag_seconds = host.get_lag_seconds(MODEL, old, now)
                case.assertLessEqual(
                    now - named_at[old + 1], lag_seconds + 1e-6, f'seed {seed}'
                )


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
