"""What hosts that forward calls tell each other, as messages."""

from collections import abc

from pistachioseam.forwarding import cache_store_watches
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import known_versions
from pistachioseam.forwarding import loads
from pistachioseam.forwarding import plans
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import residency
from pistachioseam.forwarding import rollouts
from pistachioseam.forwarding import router as routers
from pistachioseam_entry import peer_messages
from pistachioseam_peer.generated import messages_pb2

SUSPECT_SECONDS = 1.0
"""Age up to which suspected requests are told again."""
RETOLD_SECONDS = 0.5
"""Age up to which what a host of the domain told is told to others."""
MAX_WAITING = 64
"""Statuses of other domains, and sightings of the own, that wait to be
passed on; a host that cannot keep up drops the oldest."""


class StatusMessages:
    """Creates the statuses of this host and its domain; takes in others'.

    `list_watched` returns the stores of cached parts that this host watches.
    """

    def __init__(
        self,
        router: routers.CallRouter,
        rollout: rollouts.Rollout,
        list_watched: abc.Callable[[], list[desired.CacheStore]],
    ) -> None:
        self._router = router
        self._rollout = rollout
        self._list_watched = list_watched
        self._for_near: list[messages_pb2.DomainStatus] = []
        self._for_distant: list[messages_pb2.CacheSighting] = []
        self._near_loading: dict[tuple[str, int], float] = {}
        self._near_epochs: dict[str, tuple[int, float]] = {}

    def create_own(self, is_greeting: bool = False) -> messages_pb2.HostStatus:
        """Return this host's status; a greeting tells older suspects too."""
        status = messages_pb2.HostStatus()
        _add_loads(status, self._router.loads.get_own_loads())
        self._add_beliefs(status, is_greeting)
        for name, born_ms in self._rollout.loading:
            status.engines.add(target=name, born_ms=born_ms, is_loading=True)
        return status

    def create_domain(
        self, near: abc.Collection[str]
    ) -> messages_pb2.HostStatus:
        """Return the status of this host's domain, for other domains."""
        status = messages_pb2.HostStatus(is_domain=True)
        now = self._router.runtime.now()
        _add_loads(status, self._router.loads.sum_with_peers(near, now))
        self._add_beliefs(status)
        self._add_near(status)
        return status

    def create_partial(
        self, is_domain: bool = False
    ) -> messages_pb2.HostStatus:
        """Return a status without loads, for news that cannot wait."""
        status = messages_pb2.HostStatus(is_partial=True, is_domain=is_domain)
        if is_domain:
            self._add_near(status)
        return status

    def add_news(
        self, status: messages_pb2.HostStatus, is_speaker: bool
    ) -> None:
        """Add to a status for the domain what each host is told once.

        Who speaks for its domain keeps its own news for the others too.
        """
        for sighting in self._router.caches.take_updates():
            told = status.sightings.add(
                holder=sighting.holder,
                salt=sighting.salt,
                names=[part.name for part in sighting.parts],
                tokens=[part.tokens for part in sighting.parts],
                ready_ms=int(sighting.ready_seconds * plans.MS_PER_SECOND),
            )
            if is_speaker:
                self._for_distant.append(told)
        status.domains.extend(self._for_near)
        self._for_near.clear()

    def _add_near(self, status: messages_pb2.HostStatus) -> None:
        """Add what the hosts of the domain have told."""
        status.sightings.extend(self._for_distant)
        self._for_distant.clear()
        now = self._router.runtime.now()
        loading = set(self._rollout.loading)
        for incarnation, heard_at in list(self._near_loading.items()):
            if now - heard_at > RETOLD_SECONDS:
                del self._near_loading[incarnation]
            elif self._router.weights.is_loading_incarnation(incarnation):
                loading.add(incarnation)
        for name, born_ms in loading:
            status.engines.add(target=name, born_ms=born_ms, is_loading=True)
        for address, (epoch, heard_at) in list(self._near_epochs.items()):
            if now - heard_at > RETOLD_SECONDS:
                del self._near_epochs[address]
            else:
                status.store_epochs.add(address=address, epoch=epoch)

    def _add_beliefs(
        self, status: messages_pb2.HostStatus, is_greeting: bool = False
    ) -> None:
        now = self._router.runtime.now()
        for named in self._router.desired.list_ages(now):
            status.named.add(
                model=named.model,
                weights_version=named.version,
                age_ms=int(named.age_seconds * plans.MS_PER_SECOND),
            )
        for seen in self._router.weights.list_recent():
            status.engines.add(
                target=seen.target,
                born_ms=seen.born_ms,
                model=seen.model,
                weights_version=seen.version,
            )
        peer_messages.add_suspects(
            status,
            self._router.quarantine.list_suspects(
                float('inf') if is_greeting else SUSPECT_SECONDS
            ),
        )
        for store in self._list_watched():
            epoch = self._router.store_epochs.get(store.address)
            if epoch is not None:
                status.store_epochs.add(address=store.address, epoch=epoch)

    def hear_near(self, sender: str, status: messages_pb2.HostStatus) -> None:
        """Take in the status of another host, and what it passes on."""
        self._take_in(sender, status)
        for told in status.domains:
            self._take_in(f'domain {told.domain}', told.status)

    def keep_for_distant(self, status: messages_pb2.HostStatus) -> None:
        """Keep what a host of this domain told, to tell other domains."""
        now = self._router.runtime.now()
        self._for_distant.extend(status.sightings)
        del self._for_distant[:-MAX_WAITING]
        for engine in status.engines:
            if engine.is_loading:
                incarnation = (engine.target, engine.born_ms)
                self._near_loading[incarnation] = now
        for told in status.store_epochs:
            self._near_epochs[told.address] = (told.epoch, now)

    def hear_domain(
        self, domain: str, status: messages_pb2.HostStatus
    ) -> None:
        """Take in the status of another domain, and keep it to pass on."""
        self._take_in(f'domain {domain}', status)
        self._for_near.append(
            messages_pb2.DomainStatus(domain=domain, status=status)
        )
        del self._for_near[:-MAX_WAITING]

    def _take_in(self, source: str, status: messages_pb2.HostStatus) -> None:
        """Learn all that a status tells."""
        for sighting in status.sightings:
            self._hear_sighting(sighting)
        for engine in status.engines:
            self._hear_engine(engine)
        self._hear_epochs(status)
        for suspect in peer_messages.decode_suspects(status):
            self._router.quarantine.merge(suspect)
        now = self._router.runtime.now()
        for named in status.named:
            self._router.desired.merge_age(
                known_versions.NamedWeights(
                    named.model,
                    named.weights_version,
                    named.age_ms / plans.MS_PER_SECOND,
                ),
                now,
            )
        if not status.is_partial:
            self._router.loads.set_peer_loads(
                source, _decode_loads(status), now
            )

    def _hear_epochs(self, status: messages_pb2.HostStatus) -> None:
        watched = {store.address for store in self._list_watched()}
        for told in status.store_epochs:
            if told.address not in watched:
                cache_store_watches.note_epoch(
                    self._router, told.address, told.epoch
                )

    def _hear_sighting(self, sighting: messages_pb2.CacheSighting) -> None:
        parts = tuple(
            prompts.Part(name, tokens)
            for name, tokens in zip(
                sighting.names, sighting.tokens, strict=True
            )
        )
        plans.apply_cache_update(
            self._router,
            residency.CacheUpdate(
                sighting.holder,
                sighting.salt,
                parts,
                sighting.ready_ms / plans.MS_PER_SECOND,
            ),
            is_own=False,
        )

    def _hear_engine(self, engine: messages_pb2.EngineState) -> None:
        if engine.is_loading:
            incarnation = (engine.target, engine.born_ms)
            self._router.weights.note_loading(incarnation)
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
    """Tell whether a status cannot wait for the next regular message.

    Calls sent to an engine that drains hold it up, and a request that
    crashes targets may be on its way to the next.
    """
    is_loading = any(engine.is_loading for engine in status.engines)
    return is_loading or bool(status.suspects)


def _add_loads(
    status: messages_pb2.HostStatus, told: abc.Mapping[str, loads.Load]
) -> None:
    for name, load in told.items():
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
