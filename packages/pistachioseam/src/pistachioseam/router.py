"""State and dependencies that the filters of one host share."""

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
    """Routing state of one host and the interfaces to its environment."""

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
    link_budget: links.LinkBudget
    health: health.HealthTracker
    quarantine: quarantine.Quarantine
    leaving: leaving.LeavingTargets
    retry_budget: retries.RetryBudget
    journal: journal.Journal
