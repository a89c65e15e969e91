"""Two holders of a lease act at least the minimum handover time apart."""

import attrs
import hypothesis
from hypothesis import strategies

from pistachioseam.forwarding import leases
from pistachioseam.forwarding import ports
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
        if expected != self.simulation.row.version:
            self.lease.invalidate()
            return
        self.simulation.row = ports.LeaseRow(
            holder=self.name, version=expected + 1
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
                (self.simulation.now, self.name, self.lease.row.version)
            )


class Simulation:
    """Reference clock, the row of the lease and all hosts' actions."""

    def __init__(self) -> None:
        self.now = 100.0
        self.row = ports.LeaseRow(holder='', version=0)
        self.actions: list[tuple[float, str, int]] = []
        self.hosts = [
            Host(name, offset_seconds, self)
            for name, offset_seconds in (('a', 0.0), ('b', 50.0), ('c', -20.0))
        ]


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ('observe', 'write', 'lose', 'act', 'act', 'pass')
        ),
        strategies.integers(0, 2),
        strategies.floats(0.01, 2.5),
    ),
    max_size=80,
)


@hypothesis.given(STEPS)
def check_history(steps: list[tuple[str, int, float]]) -> None:
    """Run any order of reads, writes, lost responses, actions and pauses."""
    simulation = Simulation()
    for kind, number, seconds in steps:
        host = simulation.hosts[number]
        if kind == 'pass':
            simulation.now += seconds
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


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
