"""Everything that the filters of forwarded calls decide with."""

from collections import abc

import attrs

from pistachioseam.forwarding import beliefs
from pistachioseam.forwarding import budgets
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import faults
from pistachioseam.forwarding import freshness
from pistachioseam.forwarding import loads
from pistachioseam.forwarding import paces
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import residency
from pistachioseam import health
from pistachioseam import interfaces
from pistachioseam import links
from pistachioseam import pipeline
from pistachioseam.placement import homes
from pistachioseam import quarantine


@attrs.define(kw_only=True)
class CallRouter:
    """Decisions of one host about forwarded calls.

    `read_boot_clock` returns seconds that go on while the host is suspended,
    `max_behind_seconds` bounds the use of weights that have been replaced.
    """

    runtime: interfaces.Runtime
    read_boot_clock: abc.Callable[[], float]
    random: interfaces.RandomSource
    sink: interfaces.EventSink
    link: ports.TargetLink
    topology: links.Topology
    desired: beliefs.DesiredKeeper
    weights: beliefs.WeightsBoard
    freshness: freshness.Freshness
    catalog: catalog.TargetCatalog
    loads: loads.LoadBoard
    budget: budgets.FleetBudget
    health: health.HealthTracker
    quarantine: quarantine.Quarantine
    max_behind_seconds: float = float('inf')
    caches: residency.ResidencyMap = attrs.field(
        factory=residency.ResidencyMap
    )
    store_epochs: dict[str, int] = attrs.field(factory=dict)
    fault_board: faults.FaultBoard = attrs.field(factory=faults.FaultBoard)
    pace_board: paces.PaceBoard = attrs.field(factory=paces.PaceBoard)
    first_read_listeners: list[abc.Callable[[], None]] = attrs.field(
        factory=list
    )
    home_order: homes.HomeOrder = attrs.field(factory=homes.HomeOrder)
    busy_until: dict[str, float] = attrs.field(factory=dict)


CALL_ORDER = ('inform', 'match', 'authenticate', 'forward')
filters: pipeline.FilterChain[calls.Call, CallRouter] = pipeline.FilterChain(
    CALL_ORDER
)
register = filters.register
run_filters = filters.run
