"""Two holders of a lease act at least the minimum handover time apart."""

import attrs
import hypothesis
from hypothesis import strategies

from pistachioseam.forwarding import leases
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import store_versions
from tests import support

MIN_HANDOVER_SECONDS = 3.0
CALL_SECONDS = 0.2
"""Time between the sending and the effect of a store call."""


@attrs.define
class Host:
    """Host with a lease and its own offset of the boot clock."""

    name: str
    offset_seconds: float
    simulation: 'Simulation'
    lease: leases.Lease = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the lease."""
        self.lease = leases.Lease(
            holder=self.name,
            min_handover_seconds=MIN_HANDOVER_SECONDS,
            read_boot_clock=self.read_clock,
        )

    def read_clock(self) -> float:
        """Return this host's boot clock in seconds."""
        return self.simulation.now + self.offset_seconds

    def observe(self) -> None:
        """Read the row of the lease."""
        self.lease.record_read(self.simulation.row, self.read_clock())

    def write(self, is_lost: bool) -> None:
        """Write the row if the lease allows it; the response may be lost."""
        if not self.lease.can_write():
            return
        assert self.lease.row is not None
        sent_at = self.read_clock()
        expected = self.lease.row.version
        self.simulation.now += CALL_SECONDS
        if expected.number != self.simulation.row.version.number:
            self.lease.invalidate()
            return
        self.simulation.row = self.simulation.create_row(
            self.name, expected.era
        )
        if is_lost:
            self.lease.invalidate()
        else:
            self.lease.record_write(self.simulation.row, sent_at)

    def act(self) -> None:
        """Record an action if the lease allows it."""
        if self.lease.can_act():
            assert self.lease.row is not None
            self.simulation.actions.append(
                (
                    self.simulation.now,
                    self.name,
                    self.lease.row.get_fencing_token(),
                )
            )


class Simulation:
    """Reference clock, the row of the lease and all hosts' actions."""

    def __init__(self) -> None:
        self.now = 100.0
        self.era = 0
        self.next_number = 1
        self.row = ports.LeaseRow(
            holder='', version=store_versions.StoreVersion(self.era, 0)
        )
        self.copy = (self.row, self.next_number)
        self.actions: list[tuple[float, str, int]] = []
        self.hosts = [
            Host(name, offset_seconds, self)
            for name, offset_seconds in (('a', 0.0), ('b', 50.0), ('c', -20.0))
        ]

    def create_row(self, holder: str, written_era: int) -> ports.LeaseRow:
        """Return a row with the next version of the store."""
        version = store_versions.StoreVersion(self.era, self.next_number)
        self.next_number += 1
        return ports.LeaseRow(
            holder=holder, version=version, written_era=written_era
        )

    def save_copy(self) -> None:
        """Save a copy of the store."""
        self.copy = (self.row, self.next_number)

    def restore(self) -> None:
        """Restore the copy; versions since then are given out again."""
        self.era += 1
        row, self.next_number = self.copy
        version = store_versions.StoreVersion(self.era, row.version.number)
        self.row = attrs.evolve(row, version=version)


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            (
                'observe',
                'write',
                'write',
                'lose',
                'act',
                'act',
                'pass',
                'pass',
                'copy',
                'restore',
            )
        ),
        strategies.integers(0, 2),
        strategies.floats(0.01, 2.5),
    ),
    max_size=80,
)
TAKEOVER_SECONDS = (
    MIN_HANDOVER_SECONDS
    + leases.VALIDITY_SECONDS
    + leases.CLOCK_MARGIN_SECONDS
    + 0.1
)
"""Time after which another host may take over."""


@hypothesis.given(STEPS)
def check_history(steps: list[tuple[str, int, float]]) -> None:
    """Run any order of reads, writes, lost responses, actions and pauses.

    The store may be copied and restored from the last copy in between.
    """
    simulation = Simulation()
    for kind, number, seconds in steps:
        host = simulation.hosts[number]
        if kind == 'pass':
            simulation.now += seconds
        elif kind == 'copy':
            simulation.save_copy()
        elif kind == 'restore':
            simulation.restore()
        elif kind == 'observe':
            host.observe()
        elif kind == 'act':
            host.act()
        else:
            host.write(is_lost=kind == 'lose')
    for (at, name, token), (later, other, next_token) in zip(
        simulation.actions, simulation.actions[1:], strict=False
    ):
        assert token <= next_token
        if name != other:
            assert token < next_token
            assert later - at >= MIN_HANDOVER_SECONDS


def test_two_holders_act_at_least_the_handover_time_apart(
    case: support.Case,
) -> None:
    """In any interleaving, two holders act the handover time apart.

    The hosts' clocks differ and the response to a write may be lost, so a
    host may be the holder without knowing it. Fencing tokens must grow too.
    """
    check_history()


def test_successor_waits_for_the_lease_to_expire(case: support.Case) -> None:
    """A standby waits until the renewal and the handover time have passed."""
    simulation = Simulation()
    first, second, _ = simulation.hosts
    first.observe()
    first.write(is_lost=False)
    first.act()
    second.observe()
    simulation.now += MIN_HANDOVER_SECONDS
    second.write(is_lost=False)
    second.act()
    case.assertEqual(['a'], [name for _, name, _ in simulation.actions])
    simulation.now += leases.VALIDITY_SECONDS + leases.CLOCK_MARGIN_SECONDS
    second.write(is_lost=False)
    second.act()
    case.assertEqual(['a', 'b'], [name for _, name, _ in simulation.actions])


def test_last_holder_renews_without_a_wait(case: support.Case) -> None:
    """The host that wrote the row last may renew at any time."""
    simulation = Simulation()
    first = simulation.hosts[0]
    first.observe()
    first.write(is_lost=False)
    simulation.now += 60.0
    case.assertFalse(first.lease.can_act())
    first.write(is_lost=False)
    case.assertTrue(first.lease.can_act())


def take_over(host: Host) -> None:
    """Let a host become the holder after the wait, and act."""
    host.observe()
    host.simulation.now += TAKEOVER_SECONDS
    host.write(is_lost=False)
    host.act()


def test_former_holder_in_a_restored_row_waits(case: support.Case) -> None:
    """The copy names a holder that another host has replaced since."""
    simulation = Simulation()
    first, second, _ = simulation.hosts
    take_over(first)
    simulation.save_copy()
    take_over(second)
    simulation.restore()
    first.observe()
    first.write(is_lost=False)
    first.act()
    names = [name for _, name, _ in simulation.actions]
    case.assertEqual(['a', 'b'], names)
    take_over(first)
    tokens = [token for _, _, token in simulation.actions]
    case.assertEqual(3, len(tokens))
    case.assertEqual(sorted(set(tokens)), tokens)


def test_follower_takes_a_restored_row_for_changed(case: support.Case) -> None:
    """It had seen the same version before another host took over."""
    simulation = Simulation()
    first, second, third = simulation.hosts
    take_over(first)
    simulation.save_copy()
    third.observe()
    take_over(second)
    simulation.restore()
    third.observe()
    third.write(is_lost=False)
    third.act()
    names = [name for _, name, _ in simulation.actions]
    case.assertEqual(['a', 'b'], names)


def test_write_by_a_reused_version_does_not_take_the_lease(
    case: support.Case,
) -> None:
    """The version that a holder expects was given to another host's row."""
    simulation = Simulation()
    first, second, _ = simulation.hosts
    simulation.save_copy()
    take_over(first)
    simulation.restore()
    take_over(second)
    case.assertEqual(
        first.lease.row and first.lease.row.version.number,
        simulation.row.version.number,
    )
    first.write(is_lost=False)
    first.act()
    names = [name for _, name, _ in simulation.actions]
    case.assertEqual(['a', 'b'], names)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
