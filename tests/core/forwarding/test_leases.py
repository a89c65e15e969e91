"""Two holders of a duty never act within a lease of each other."""

import attrs
import hypothesis
from hypothesis import strategies

from pistachioseam.forwarding import leases
from pistachioseam.forwarding import ports
from tests import support

LEASE_SECONDS = 3.0
CALL_SECONDS = 0.2
"""Longest time between the sending and the effect of a store call."""


@attrs.define
class Host:
    """One host with its own offset of the boot clock and its lease."""

    name: str
    offset: float
    world: 'World'
    lease: leases.Lease = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the lease."""
        self.lease = leases.Lease(
            holder=self.name,
            lease_seconds=LEASE_SECONDS,
            read_boot_clock=self.read_clock,
        )

    def read_clock(self) -> float:
        """Return this host's boot clock."""
        return self.world.now + self.offset

    def observe(self) -> None:
        """Read the row."""
        self.lease.note_row(self.world.row, self.read_clock())

    def write(self, is_lost: bool) -> None:
        """Write the row if the lease allows it; the answer may be lost."""
        if not self.lease.may_write():
            return
        assert self.lease.row is not None
        sent_at = self.read_clock()
        expected = self.lease.row.version
        self.world.now += CALL_SECONDS
        if expected != self.world.row.version:
            self.lease.note_conflict()
            return
        self.world.row = ports.LeaseRow(holder=self.name, version=expected + 1)
        if is_lost:
            self.lease.note_conflict()
        else:
            self.lease.note_written(self.world.row, sent_at)

    def act(self) -> None:
        """Act if the lease allows it."""
        if self.lease.may_act():
            assert self.lease.row is not None
            self.world.acts.append(
                (self.world.now, self.name, self.lease.row.version)
            )


class World:
    """True time, the row and all acts."""

    def __init__(self) -> None:
        self.now = 100.0
        self.row = ports.LeaseRow(holder='', version=0)
        self.acts: list[tuple[float, str, int]] = []
        self.hosts = [
            Host(name, offset, self)
            for name, offset in (('a', 0.0), ('b', 50.0), ('c', -20.0))
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
    """Run any order of reads, writes, lost answers, acts and pauses."""
    world = World()
    for kind, number, seconds in steps:
        host = world.hosts[number]
        if kind == 'pass':
            world.now += seconds
        elif kind == 'observe':
            host.observe()
        elif kind == 'act':
            host.act()
        else:
            host.write(is_lost=kind == 'lose')
    for (at, name, token), (later, other, next_token) in zip(
        world.acts, world.acts[1:], strict=False
    ):
        assert token <= next_token
        if name != other:
            assert token < next_token
            assert later - at >= LEASE_SECONDS


def test_holders_keep_their_distance(case: support.Case) -> None:
    """No interleaving brings two holders' acts closer than the lease."""
    check_history()


def test_successor_waits_out_the_holder(case: support.Case) -> None:
    """A silent holder is succeeded after its hold and the lease."""
    world = World()
    first, second, _ = world.hosts
    first.observe()
    first.write(is_lost=False)
    first.act()
    second.observe()
    world.now += LEASE_SECONDS
    second.write(is_lost=False)
    second.act()
    case.assertEqual(['a'], [name for _, name, _ in world.acts])
    world.now += leases.HOLD_SECONDS + leases.CLOCK_MARGIN_SECONDS
    second.write(is_lost=False)
    second.act()
    case.assertEqual(['a', 'b'], [name for _, name, _ in world.acts])


def test_last_holder_needs_no_wait(case: support.Case) -> None:
    """The host that wrote last may renew at any time."""
    world = World()
    first = world.hosts[0]
    first.observe()
    first.write(is_lost=False)
    world.now += 60.0
    case.assertFalse(first.lease.may_act())
    first.write(is_lost=False)
    case.assertTrue(first.lease.may_act())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
