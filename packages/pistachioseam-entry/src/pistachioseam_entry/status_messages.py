"""Status messages between hosts that forward calls.

In a large fleet the leader of each domain relays statuses between its domain
and the others; see `pistachioseam.forwarding.contacts`.
"""

from collections import abc

import attrs

from pistachioseam.forwarding import brittleness
from pistachioseam.forwarding import cache_store_watches
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import known_versions
from pistachioseam.forwarding import loads
from pistachioseam.forwarding import plans
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import rate_limits
from pistachioseam.forwarding import residency
from pistachioseam.forwarding import rollouts
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding import stream_origins
from pistachioseam_entry import member_messages
from pistachioseam_entry import peer_messages
from pistachioseam_entry import status_changes
from pistachioseam_peer.generated import messages_pb2

SUSPECT_REPEAT_SECONDS = 1.0
"""Time for which a changed suspect is repeated in regular statuses."""
MAX_REPORTED_PARTS = 64
"""Limit of the prompt parts in a status, those with the most crashes first."""
MAX_HANDSHAKE_PARTS = 512
"""The same for a handshake."""
MAX_HANDSHAKE_STREAMS = 4_000
"""Limit of the begun streams in a handshake, the newest first."""
RELAY_EXPIRY_SECONDS = 0.5
"""Age after which a report by a host of this domain is no longer relayed."""
LOADING_RELAY_SECONDS = 0.65
"""The same for a loading engine: longer than the pause between two statuses of
a host, or the engine would get calls in between."""
MAX_LOADING_KEYS = 4096
"""Limit of the loading engines that are remembered by key."""
MAX_QUEUED_REPORTS = 256
"""Limit of the statuses of hosts of this domain that wait to be relayed within
it; the oldest are dropped."""
MAX_QUEUED_UPDATES = 64
"""Limit for each queue of the relay: statuses of other domains, and cache
updates of this one. The oldest entries of a full queue are dropped."""


@attrs.define
class RelayQueue:
    """Reports that a leader relays to one kind of receivers.

    Loading engines and epochs are kept with the time of the last report.
    """

    sightings: list[messages_pb2.CacheSighting] = attrs.field(factory=list)
    streams: list[messages_pb2.BegunStreams] = attrs.field(factory=list)
    loading: dict[tuple[str, int], float] = attrs.field(factory=dict)
    epochs: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def add(self, status: messages_pb2.HostStatus, now: float) -> None:
        """Queue the reports of a status; drop the oldest if full."""
        self.add_sightings(status.sightings)
        self.streams.extend(status.begun_streams)
        del self.streams[:-MAX_QUEUED_REPORTS]
        for engine in status.engines:
            if engine.is_loading:
                self.loading[engine.target, engine.born_ms] = now
        for report in status.store_epochs:
            self.epochs[report.address] = (report.epoch, now)

    def add_sightings(
        self, sightings: abc.Iterable[messages_pb2.CacheSighting]
    ) -> None:
        """Queue cache updates."""
        self.sightings.extend(sightings)
        del self.sightings[:-MAX_QUEUED_UPDATES]


class StatusMessages:
    """Creates statuses of this host and its domain; applies those of peers.

    `list_watched_cache_stores` returns the KV cache stores that this host
    watches.
    """

    def __init__(
        self,
        router: routers.CallRouter,
        rollout: rollouts.Rollout,
        list_watched_cache_stores: abc.Callable[[], list[desired.CacheStore]],
    ) -> None:
        self._router = router
        self._rollout = rollout
        self._list_watched_cache_stores = list_watched_cache_stores
        self._statuses_to_relay: list[messages_pb2.DomainStatus] = []
        self._reports_to_relay: list[messages_pb2.HostReport] = []
        self._outbound = RelayQueue()
        self._inbound = RelayQueue()
        self._loading_by_key: dict[int, tuple[str, int]] = {}

    def create_host_status(
        self, is_handshake: bool = False
    ) -> messages_pb2.HostStatus:
        """Return this host's status; in a handshake with all suspects."""
        status = messages_pb2.HostStatus(
            reaches_no_target=self._router.is_cut_off()
        )
        _add_loads(status, self._router.loads.get_own_loads())
        self._add_observations(status, is_handshake)
        for name, born_ms in self._rollout.loading:
            status.engines.add(target=name, born_ms=born_ms, is_loading=True)
        return status

    def create_domain_status(
        self, domain_hosts: abc.Collection[str]
    ) -> messages_pb2.HostStatus:
        """Return the merged status of this domain, for other domains."""
        status = messages_pb2.HostStatus(is_domain=True)
        now = self._router.runtime.now()
        _add_loads(
            status, self._router.loads.sum_with_peers(domain_hosts, now)
        )
        self._add_observations(status)
        self._add_relayed(status, self._outbound)
        return status

    def create_fleet_status(self) -> messages_pb2.HostStatus:
        """Return what this leader knows, without loads, for its domain."""
        status = messages_pb2.HostStatus(is_domain=True)
        self._add_observations(status)
        self._add_relayed(status, self._inbound)
        status.is_domain = False
        return status

    def create_partial_status(
        self, is_domain: bool = False
    ) -> messages_pb2.HostStatus:
        """Return a status without loads, to be sent between regular ones.

        For the domain it holds the relayed updates, for this host only the
        targets that get no more calls until `add_updates`.
        """
        status = messages_pb2.HostStatus(is_partial=True, is_domain=is_domain)
        self._add_urgent(status)
        if is_domain:
            self._add_relayed(status, self._outbound)
            self._add_part_reports(status)
        return status

    def add_updates(
        self, status: messages_pb2.HostStatus, is_relaying: bool
    ) -> None:
        """Add the queued updates, which each host gets once, to a status.

        The status goes to this host's direct peers. A relaying leader also
        queues its own updates for the receivers of merged statuses.
        """
        for update in self._router.cache_models.take_updates():
            message = status.sightings.add(
                holder=update.holder,
                salt=update.salt,
                names=[part.name for part in update.parts],
                tokens=[part.tokens for part in update.parts],
                ready_ms=int(update.ready_seconds * plans.MS_PER_SECOND),
            )
            if is_relaying:
                self._outbound.add_sightings([message])
                self._inbound.add_sightings([message])
        if self._router.software.has_several():
            begun = peer_messages.encode_begun_streams(
                self._router.stream_origins.take_updates()
            )
            status.begun_streams.extend(begun)
            if is_relaying:
                self._outbound.streams.extend(begun)
                self._inbound.streams.extend(begun)
        status.domains.extend(self._statuses_to_relay)
        self._statuses_to_relay.clear()
        status.reports.extend(self._reports_to_relay)
        self._reports_to_relay.clear()

    def drop_reports(self) -> None:
        """Drop the queued statuses, as no receiver needs them one by one."""
        self._statuses_to_relay.clear()
        self._reports_to_relay.clear()

    def _add_relayed(
        self, status: messages_pb2.HostStatus, queue: 'RelayQueue'
    ) -> None:
        """Add the queued cache updates, streams, loads and epochs."""
        status.begun_streams.extend(queue.streams)
        queue.streams.clear()
        status.sightings.extend(queue.sightings)
        queue.sightings.clear()
        now = self._router.runtime.now()
        loading = set(self._rollout.loading)
        for incarnation, received_at in list(queue.loading.items()):
            if now - received_at > LOADING_RELAY_SECONDS:
                del queue.loading[incarnation]
            elif self._router.weights.is_loading_incarnation(incarnation):
                loading.add(incarnation)
        for name, born_ms in loading:
            status.engines.add(target=name, born_ms=born_ms, is_loading=True)
        for address, (epoch, received_at) in list(queue.epochs.items()):
            if now - received_at > RELAY_EXPIRY_SECONDS:
                del queue.epochs[address]
            else:
                status.store_epochs.add(address=address, epoch=epoch)

    def _add_observations(
        self, status: messages_pb2.HostStatus, is_handshake: bool = False
    ) -> None:
        now = self._router.runtime.now()
        for named in self._router.desired.list_named_weights(
            self._router.read_boot_clock()
        ):
            peer_messages.add_named_weights(status.named.add(), named)
        for observed in self._router.weights.list_recent():
            status.engines.add(
                target=observed.target,
                born_ms=observed.born_ms,
                model=observed.model,
                weights_version=observed.version,
            )
        member_messages.add_suspects(
            status,
            self._router.quarantine.list_suspects(
                float('inf') if is_handshake else SUSPECT_REPEAT_SECONDS
            ),
        )
        self._add_part_reports(status, is_handshake)
        if is_handshake:
            status.begun_streams.extend(
                peer_messages.encode_begun_streams(
                    self._router.stream_origins.list_recent(
                        now,
                        stream_origins.MEMORY_SECONDS,
                        MAX_HANDSHAKE_STREAMS,
                    )
                )
            )
        for report in self._router.notices.list_recently_leaving(now):
            peer_messages.add_leaving(status.leaving.add(), report)
        self._add_urgent(status)
        max_age_seconds = (
            float('inf') if is_handshake else rate_limits.ANNOUNCE_SECONDS
        )
        for limit in self._router.rate_limits.list_reports(
            now, max_age_seconds
        ):
            peer_messages.add_limit(status.limits.add(), limit)
        for store in self._list_watched_cache_stores():
            epoch = self._router.cache_store_epochs.get(store.address)
            if epoch is not None:
                status.store_epochs.add(address=store.address, epoch=epoch)

    def _add_urgent(self, status: messages_pb2.HostStatus) -> None:
        """Add the targets that peers must stop sending calls to."""
        now = self._router.runtime.now()
        for full in self._router.brittleness.list_full(now):
            name, born_ms = full.incarnation
            status.full_targets.add(
                target=name,
                born_ms=born_ms,
                pause_ms=int(full.pause_seconds * plans.MS_PER_SECOND),
                rejection_id=full.rejection_id,
            )
        for departure in self._router.catalog.list_recent_departures(now):
            peer_messages.add_departure(status.leaving.add(), departure)

    def _add_part_reports(
        self, status: messages_pb2.HostStatus, is_handshake: bool = False
    ) -> None:
        """Add the evidence about parts that may crash targets.

        Unless it is a handshake or of a domain, a status holds what this host
        has observed itself, as its peers get that of others from them.
        """
        reports = self._router.crash_evidence.list_reports(
            self._router.runtime.now(),
            float('inf') if is_handshake else SUSPECT_REPEAT_SECONDS,
            MAX_HANDSHAKE_PARTS if is_handshake else MAX_REPORTED_PARTS,
            is_own=not (is_handshake or status.is_domain),
        )
        peer_messages.add_part_reports(status, reports)

    def apply_host_status(
        self, sender: str, status: messages_pb2.HostStatus
    ) -> None:
        """Apply the status of a peer, and the statuses that it relays."""
        self._apply_status(sender, status)
        for relayed in status.domains:
            self._apply_status(f'domain {relayed.domain}', relayed.status)

    def queue_report(
        self, sender: messages_pb2.Host, status: messages_pb2.HostStatus
    ) -> None:
        """Queue a host's own status for the other hosts of this domain.

        Limits are left out: they would age in the queue, and this host's own
        status holds them.
        """
        report = messages_pb2.HostReport(sender=sender, status=status)
        for field in ('reports', 'domains', 'leaders', 'limits'):
            report.status.ClearField(field)
        self._reports_to_relay.append(report)
        del self._reports_to_relay[:-MAX_QUEUED_REPORTS]

    def queue_for_relay(self, status: messages_pb2.HostStatus) -> None:
        """Queue reports by a host of this domain for all others."""
        now = self._router.runtime.now()
        self._outbound.add(status, now)
        self._inbound.add(status, now)

    def expand_changes(self, status: messages_pb2.HostStatus) -> None:
        """Add the loading engines that are given by key, if they are known."""
        if not self._loading_by_key.keys() >= set(status.changes.loading):
            # The message with their names was lost.
            for target in self._router.catalog.list_all():
                incarnation = target.get_incarnation()
                key = status_changes.hash_incarnation(incarnation)
                if key in status.changes.loading:
                    self._loading_by_key[key] = incarnation
        for key in status.changes.loading:
            if key in self._loading_by_key:
                name, born_ms = self._loading_by_key[key]
                status.engines.add(
                    target=name, born_ms=born_ms, is_loading=True
                )
        for engine in status.engines:
            if engine.is_loading:
                incarnation = (engine.target, engine.born_ms)
                key = status_changes.hash_incarnation(incarnation)
                self._loading_by_key.pop(key, None)
                self._loading_by_key[key] = incarnation
        while len(self._loading_by_key) > MAX_LOADING_KEYS:
            del self._loading_by_key[next(iter(self._loading_by_key))]

    def apply_domain_status(
        self, domain: str, status: messages_pb2.HostStatus
    ) -> None:
        """Apply the status of another domain, and queue it for this one."""
        self._apply_status(f'domain {domain}', status)
        self._inbound.add(status, self._router.runtime.now())
        relayed = messages_pb2.DomainStatus(domain=domain, status=status)
        relayed.status.ClearField('limits')
        self._statuses_to_relay.append(relayed)
        del self._statuses_to_relay[:-MAX_QUEUED_UPDATES]

    def _apply_status(
        self, source: str, status: messages_pb2.HostStatus
    ) -> None:
        """Apply a status; its loads replace the previous ones of `source`."""
        for update in status.sightings:
            self._apply_cache_update(update)
        for engine in status.engines:
            self._apply_engine_state(engine)
        self._apply_store_epochs(status)
        for suspect in member_messages.decode_suspects(status):
            self._router.quarantine.merge(suspect)
        now = self._router.runtime.now()
        if status.part_evidence:
            self._router.crash_evidence.merge(
                peer_messages.decode_part_reports(status), now
            )
        for leaving in status.leaving:
            if leaving.is_listed:
                self._router.catalog.record_departure(
                    peer_messages.decode_departure(leaving), now
                )
            else:
                self._router.notices.merge(
                    peer_messages.decode_leaving(leaving), now
                )
        for full in status.full_targets:
            self._router.brittleness.merge(
                brittleness.FullTarget(
                    (full.target, full.born_ms),
                    full.pause_ms / plans.MS_PER_SECOND,
                    full.rejection_id,
                ),
                now,
            )
        for begun in status.begun_streams:
            self._router.stream_origins.merge(
                begun.keys, peer_messages.decode_origin(begun), now
            )
        for limit in status.limits:
            self._router.rate_limits.merge(
                peer_messages.decode_limit(limit), now
            )
        for named in sorted(
            status.named, key=lambda named: named.weights_version
        ):
            self._router.desired.merge_named_weights(
                peer_messages.decode_named_weights(named),
                self._router.read_boot_clock(),
            )
        if not status.is_partial:
            self._router.loads.record_peer_loads(
                source, _decode_loads(status), now
            )

    def _apply_store_epochs(self, status: messages_pb2.HostStatus) -> None:
        watched = {
            store.address for store in self._list_watched_cache_stores()
        }
        for report in status.store_epochs:
            if report.address not in watched:
                cache_store_watches.record_epoch(
                    self._router, report.address, report.epoch
                )

    def _apply_cache_update(self, update: messages_pb2.CacheSighting) -> None:
        parts = tuple(
            prompts.Part(name, tokens)
            for name, tokens in zip(update.names, update.tokens, strict=True)
        )
        plans.apply_cache_update(
            self._router,
            residency.CacheUpdate(
                update.holder,
                update.salt,
                parts,
                update.ready_ms / plans.MS_PER_SECOND,
            ),
            is_own=False,
        )

    def _apply_engine_state(self, engine: messages_pb2.EngineState) -> None:
        if engine.is_loading:
            incarnation = (engine.target, engine.born_ms)
            self._router.weights.record_loading(incarnation)
            return
        self._router.weights.merge(
            known_versions.ObservedWeights(
                engine.target,
                engine.born_ms,
                engine.model,
                engine.weights_version,
            )
        )


def is_urgent(status: messages_pb2.HostStatus) -> bool:
    """Return whether a status must be sent before the next regular one.

    An engine drains before it loads weights, and further calls would delay
    that; a request or prompt part that crashes targets may soon be sent to
    another one; a caller may soon resume a stream at another host. Parts are
    repeated while they are quarantined, so only new crashes of them are
    urgent.
    """
    has_new_crash = any(
        crash.age_ms < SUSPECT_REPEAT_SECONDS * plans.MS_PER_SECOND
        for part in status.part_evidence
        for crash in part.crashes
    )
    is_loading = any(engine.is_loading for engine in status.engines)
    return (
        is_loading
        or has_new_crash
        or bool(status.suspects)
        or bool(status.begun_streams)
    )


def _add_loads(
    status: messages_pb2.HostStatus,
    loads_by_target: abc.Mapping[str, loads.Load],
) -> None:
    for name, load in loads_by_target.items():
        status.loads.add(
            target=name,
            runs=load.runs,
            tokens=load.tokens,
            prefill_tokens=load.prefill_tokens,
            transfer_ms=load.transfer_ms,
            urgent_tokens=load.urgent_tokens,
        )


def _decode_loads(status: messages_pb2.HostStatus) -> dict[str, loads.Load]:
    return {
        load.target: loads.Load(
            load.runs,
            load.tokens,
            load.prefill_tokens,
            load.transfer_ms,
            load.urgent_tokens,
        )
        for load in status.loads
    }
