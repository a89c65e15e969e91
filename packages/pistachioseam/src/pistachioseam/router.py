"""Everything that the filters of one host decide with."""

from collections import abc

import attrs

from pistachioseam import acceptance
from pistachioseam import claims
from pistachioseam import health
from pistachioseam import identity
from pistachioseam import interfaces
from pistachioseam import journal
from pistachioseam import leaving
from pistachioseam import limits
from pistachioseam import links
from pistachioseam.placement import placer
from pistachioseam import quarantine
from pistachioseam import retries


@attrs.define(kw_only=True)
class Router:
    """Decisions of one host and its access to the outside."""

    runtime: interfaces.Runtime
    random: interfaces.RandomSource
    sink: interfaces.EventSink
    client: interfaces.TargetClient
    callers: abc.Sequence[identity.Caller]
    topology: links.Topology
    acceptor: acceptance.Acceptor
    claims: claims.ClaimManager
    placer: placer.Placer
    limits: limits.AccountLimits
    link: links.LinkBudget
    health: health.HealthBoard
    quarantine: quarantine.Quarantine
    leaving: leaving.LeavingTargets
    budget: retries.RetryBudget
    journal: journal.Journal
