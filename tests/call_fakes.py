"""Fakes of the ports around the core that forwards calls."""

import asyncio
from collections import abc
import random
import typing

import attrs
from returns import result

from pistachioseam import events
from pistachioseam.forwarding import brittleness
from pistachioseam.forwarding import budgets
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import crash_evidence
from pistachioseam.forwarding import crash_records
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import freshness
from pistachioseam.forwarding import known_versions
from pistachioseam.forwarding import loads
from pistachioseam.forwarding import notices
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import quotas
from pistachioseam.forwarding import rate_limits
from pistachioseam.forwarding import rate_permits
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding import software_versions
from pistachioseam.forwarding import steps  # noqa: F401
from pistachioseam.forwarding import store_versions
from pistachioseam.forwarding import stream_origins
from pistachioseam import health
from pistachioseam import interfaces
from pistachioseam import links
from pistachioseam import quarantine
from pistachioseam_entry import runtime
from tests import row_stores

Kind = interfaces.FailureKind
REQUEST_ID = 'request-1'
MODEL = 'model-1'
PLAIN_SERVICE = 'plain'
ENGINE_SERVICE = 'engines'
KEY = 'key-1'
ROUTES = {
    '/safe/': desired.CallSemantics.SAFE,
    '/once/': desired.CallSemantics.ONCE,
    '/stream/': desired.CallSemantics.STREAM,
    '/resumable/': desired.CallSemantics.RESUMABLE,
}
TIMEOUT_SECONDS = 5.0


class Sink:
    """Event sink that records the events."""

    def __init__(self) -> None:
        self.events: list[tuple[events.Event, dict[str, object]]] = []

    def emit(self, event: typing.Any, **fields: object) -> None:
        """Record one event with its fields."""
        self.events.append((event, fields))

    def list_kinds(self) -> list[events.Event]:
        """Return the kinds of the events in order."""
        return [event for event, _ in self.events]


class SeededRandom:
    """Random source with a fixed seed."""

    def __init__(self, seed: int = 1) -> None:
        self._random = random.Random(seed)

    def random(self) -> float:
        """Return a float in [0, 1)."""
        return self._random.random()

    def token(self) -> str:
        """Return a new unique token."""
        return f'{self._random.getrandbits(64):x}'


@attrs.define
class Reply:
    """Response as the caller receives it."""

    status: int = 0
    headers: ports.HeaderPairs = ()
    body: bytes = b''
    is_aborted: bool = False

    async def begin(self, status: int, headers: ports.HeaderPairs) -> None:
        """Send status and headers."""
        assert not self.status
        self.status = status
        self.headers = headers

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        self.body += data

    def write_late(self, data: bytes) -> None:
        """Send a part of the body without waiting."""
        self.body += data

    def is_begun(self) -> bool:
        """Return whether a status has been sent."""
        return bool(self.status)

    def abort(self) -> None:
        """Record that the response was aborted."""
        self.is_aborted = True


Chunk: typing.TypeAlias = bytes | interfaces.CallFailure | float


class FakeResponse:
    """Response of a target: chunks, pauses in seconds, then end or failure."""

    def __init__(
        self, head: ports.ResponseHead, chunks: abc.Sequence[Chunk]
    ) -> None:
        self.head = head
        self.declared_bytes: int | None = None
        self.is_end_marked = False
        self.connection = ''
        self.is_aborted = False
        self.is_ended = False
        self._chunks = list(chunks)

    async def read(self) -> result.Result[bytes, interfaces.CallFailure]:
        """Return the next chunk after its pauses."""
        while self._chunks:
            chunk = self._chunks.pop(0)
            if isinstance(chunk, float):
                await asyncio.sleep(chunk)
            elif isinstance(chunk, interfaces.CallFailure):
                return result.Failure(chunk)
            else:
                return result.Success(chunk)
        self.is_ended = True
        return result.Success(b'')

    def abort(self) -> None:
        """Record whether the body was aborted before its end."""
        self.is_aborted = self.is_aborted or not self.is_ended

    def drop(self) -> None:
        """Record that the connection was closed."""
        self.is_aborted = True
        self.is_ended = True


Step: typing.TypeAlias = FakeResponse | interfaces.CallFailure | float


class ScriptedTargets:
    """Targets that respond by a script, in the order of the sends.

    With `prefill_seconds` above 0 they ignore the script and act as one engine
    that takes this time for each prompt and prefills one prompt at a time.
    """

    def __init__(self) -> None:
        self.script: list[abc.Sequence[Step]] = []
        self.sent: list[tuple[str, ports.OutgoingCall]] = []
        self.crashed_addresses: set[str] = set()
        self.prefill_seconds = 0.0
        self.connect_seconds = 0.0
        self.listeners: list[ports.ResponseListener] = []
        self._free_at = 0.0

    async def send(
        self, address: str, call: ports.OutgoingCall
    ) -> ports.SendResult:
        """Respond by the next part of the script.

        The connection opens after `connect_seconds`.
        """
        if self.connect_seconds:
            await asyncio.sleep(self.connect_seconds)
        if not call.begin_sending():
            return result.Failure(create_failure(Kind.NOT_SENT))
        self.sent.append((address, call))
        sent_at = asyncio.get_running_loop().time()
        if self.prefill_seconds:
            now = asyncio.get_running_loop().time()
            self._free_at = max(self._free_at, now) + self.prefill_seconds
            await asyncio.sleep(self._free_at - now)
            response = respond(chunks=(event(1),), request_id=call.request_id)
            return result.Success(response)
        steps_ = self.script.pop(0)
        for step in steps_:
            if isinstance(step, float):
                await asyncio.sleep(step)
            elif isinstance(step, interfaces.CallFailure):
                return result.Failure(step)
            else:
                report_response(
                    self.listeners, address, call, sent_at, step.head
                )
                return result.Success(step)
        raise AssertionError(
            'the script of a send has neither response nor failure'
        )

    async def is_connection_refused(self, address: str) -> bool:
        """Return whether a test has marked the address as crashed."""
        return address in self.crashed_addresses

    def close_idle(self, address: str) -> None:
        """Do nothing; the fake keeps no connections."""

    def add_listener(self, listener: ports.ResponseListener) -> None:
        """Call `listener` with the head of each response."""
        self.listeners.append(listener)


def report_response(
    listeners: abc.Iterable[ports.ResponseListener],
    address: str,
    call: ports.OutgoingCall,
    sent_at: float,
    head: ports.ResponseHead,
) -> None:
    """Call listeners with the head of a response to a call."""
    received = ports.ReceivedHead.create(address, call, sent_at, head)
    for listener in listeners:
        listener(received)


def respond(
    status: int = 200,
    chunks: abc.Sequence[Chunk] = (b'whole',),
    **fields: typing.Any,
) -> FakeResponse:
    """Return a target's response to the request."""
    head = ports.ResponseHead(
        status=status,
        headers=((b'X-Own', b'%d' % status),),
        request_id=fields.pop('request_id', REQUEST_ID),
        stamp=fields.pop('stamp', 'stamp'),
        **fields,
    )
    return FakeResponse(head, chunks)


def create_failure(kind: Kind) -> interfaces.CallFailure:
    """Return a failure of a call."""
    return interfaces.CallFailure(kind, 'fault')


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b'id: %d\ndata: piece %d\n\n' % (number, number)


def create_state(
    version: int = 1,
    accounts: tuple[desired.Account, ...] | None = None,
    slots: int = 8,
) -> desired.DesiredState:
    """Return a desired state with a route for each of the call semantics."""
    routes = tuple(
        desired.Route(
            name=prefix.strip('/'),
            host='host.example',
            path_prefix=prefix,
            semantics=semantics,
            timeout_seconds=TIMEOUT_SECONDS,
            objective_seconds=1.0,
            priority=1,
            services=(
                desired.WeightedService(
                    ENGINE_SERVICE if semantics.is_stream() else PLAIN_SERVICE,
                    1.0,
                ),
            ),
            max_targets=2,
            is_public=accounts is None,
            has_prompt=semantics.is_stream(),
            max_gap_seconds=0.4,
        )
        for prefix, semantics in ROUTES.items()
    )
    engine = desired.Engine(
        slots=slots,
        cache_tokens=50_000,
        token_bytes=262_144,
        bytes_per_second=1e11,
        models=(MODEL,),
    )
    return desired.DesiredState(
        version=version,
        routes=routes,
        services=(
            desired.Service(name=PLAIN_SERVICE),
            desired.Service(name=ENGINE_SERVICE, engine=engine),
        ),
        accounts=accounts,
        limits=desired.RequestLimits(),
    )


def create_target(
    number: int, service: str = PLAIN_SERVICE, **fields: typing.Any
) -> catalog.LiveTarget:
    """Return a ready target."""
    values: dict[str, typing.Any] = {
        'name': f'{service}-{number}',
        'service': service,
        'address': f'10.0.0.{number}:80',
        'domain': 'd1',
        'is_ready': True,
        'slots': 6,
        'born_ms': 1,
        'weights': {MODEL: 1} if service == ENGINE_SERVICE else {},
    }
    return catalog.LiveTarget(**{**values, **fields})


def create_engines(*versions: str) -> list[catalog.LiveTarget]:
    """Return ready engines with the given software versions."""
    return [
        create_target(number, ENGINE_SERVICE, software_version=version)
        for number, version in enumerate(versions)
    ]


def create_change(
    targets: abc.Iterable[catalog.LiveTarget] = (),
    removed: abc.Iterable[str] = (),
    version: int = 1,
    era: int = 0,
    is_complete: bool = False,
) -> catalog.TargetChange:
    """Return a read of entries that all have the same version."""
    at = store_versions.StoreVersion(era, version)
    entries = [
        catalog.TargetEntry(name=target.name, version=at, target=target)
        for target in targets
    ]
    entries += [catalog.TargetEntry(name=name, version=at) for name in removed]
    return catalog.TargetChange(
        entries=tuple(entries), version=at, is_complete=is_complete
    )


class RouterFixture:
    """Router of one host, with scripted targets and the event loop's time.

    Without a `row_store`, the software versions of all targets are listed
    in one of its own.
    """

    def __init__(
        self,
        targets: abc.Sequence[catalog.LiveTarget] = (),
        connections: ScriptedTargets | None = None,
        domain: str = 'd1',
        row_store: row_stores.RowStore | None = None,
    ) -> None:
        self.sink = Sink()
        self.row_store = row_store or row_stores.RowStore()
        self.targets = connections or ScriptedTargets()
        self.runtime = runtime.AsyncioRuntime(self.sink)
        self.permit_issuer = rate_permits.PermitIssuer(
            SeededRandom(), lambda: 1.0
        )
        self.quota_requests: list[quotas.QuotaRequest] = []
        self.quota_decision: quotas.QuotaDecision | None = (
            quotas.QuotaDecision(True)
        )
        self.known_hosts: int | None = None
        self.router = self._create_router(domain)
        now = self.runtime.now()
        self.store_version = 1
        change = create_change(targets, version=1, is_complete=True)
        self.router.catalog.apply(change, now)
        self.set_state(create_state())
        self.router.freshness.record_confirmation(now)
        self.router.crash_records.apply(
            crash_records.CrashRecordsRead({}, 0.0)
        )
        if row_store is None:
            self.list_software_versions()

    def list_software_versions(self) -> None:
        """List the software versions of the registered targets."""
        self.row_store.list_versions(self.router.catalog.list_all())
        self.router.software.apply_rows(self.row_store.rows)

    def _create_router(self, domain: str) -> routers.CallRouter:
        targets = catalog.TargetCatalog(self.sink)
        state = known_versions.DesiredStateCache(self.sink)
        region = links.Region(name='r1', domains=('d1', 'd2', domain))
        crashing_requests = quarantine.Quarantine(self.runtime, 3)
        crashing_parts = crash_evidence.CrashEvidence(self.sink)
        return routers.CallRouter(
            runtime=self.runtime,
            read_boot_clock=self.runtime.now,
            random=SeededRandom(),
            sink=self.sink,
            connections=self.targets,
            topology=links.Topology(domain=domain, regions=(region,)),
            desired=state,
            weights=known_versions.WeightsTracker(self.runtime),
            freshness=freshness.Freshness(5.0),
            catalog=targets,
            loads=loads.LoadTracker(),
            budget=budgets.RetryBudgetShare(budgets.BudgetTerms(), lambda: 1),
            health=health.HealthTracker(self.runtime, self.sink),
            quarantine=crashing_requests,
            crash_evidence=crashing_parts,
            crash_records=crash_records.CrashRecords(
                crashing_requests,
                crashing_parts,
                self.runtime,
                SeededRandom(),
                self.sink,
                self.row_store,
            ),
            notices=notices.TargetNotices(self.sink),
            stream_origins=stream_origins.StreamOrigins(),
            software=software_versions.SoftwareVersions(
                targets,
                state,
                self.runtime,
                SeededRandom(),
                self.sink,
                self.row_store,
            ),
            rate_limits=rate_limits.RateLimits(self.sink),
            brittleness=brittleness.BrittleTargets(self.sink, SeededRandom()),
            permits=rate_permits.PermitClient(
                'host', self.runtime, self._issue_permit
            ),
            quotas=quotas.QuotaClient(
                'host',
                self.runtime,
                self.runtime.now,
                SeededRandom(),
                self.sink,
                self._issue_quota,
                lambda: self.known_hosts,
                quotas.QuotaTerms(slack=110_000.0),
            ),
        )

    async def _issue_quota(
        self, request: quotas.QuotaRequest
    ) -> quotas.QuotaDecision | None:
        self.quota_requests.append(request)
        return self.quota_decision

    async def _issue_permit(
        self, request: rate_permits.PermitRequest
    ) -> rate_permits.PermitDecision:
        return self.permit_issuer.issue(request, self.runtime.now())

    def _change_targets(
        self,
        targets: abc.Iterable[catalog.LiveTarget] = (),
        removed: abc.Iterable[str] = (),
    ) -> None:
        """Apply the next read of the targets' entries."""
        self.store_version += 1
        change = create_change(targets, removed, self.store_version)
        self.router.catalog.apply(change, self.runtime.now())

    def remove_targets(
        self, targets: abc.Iterable[catalog.LiveTarget]
    ) -> None:
        """Remove the entries of targets."""
        self._change_targets(removed=[target.name for target in targets])

    def add_target(self, target: catalog.LiveTarget) -> None:
        """Add the entry of a target."""
        self._change_targets([target])

    def set_software_versions(self, *versions: str) -> None:
        """Set the software versions of the registered targets, in order."""
        self._change_targets(
            attrs.evolve(target, software_version=version)
            for target, version in zip(
                self.router.catalog.list_all(), versions, strict=True
            )
        )
        self.list_software_versions()

    def restart_target(self, number: int) -> None:
        """Register the next incarnation of a target under its name."""
        target = self.router.catalog.list_all()[number]
        self._change_targets(
            [attrs.evolve(target, born_ms=target.born_ms + 1)]
        )

    def set_state(
        self,
        state: desired.DesiredState | None,
        weights: dict[str, int] | None = None,
    ) -> None:
        """Apply a desired state and the weights versions to run."""
        change = ports.DesiredChange(
            state=state, weights=weights or {}, cursor=store_versions.FIRST
        )
        self.router.desired.apply(change, self.runtime.now())

    def create_call(
        self,
        prefix: str,
        prompt: prompts.Prompt | None = None,
        key: str = '',
        timeout_seconds: float | None = None,
        after_event: str = '',
        body: bytes = b'body',
        request_id: str = REQUEST_ID,
        resumed_request_id: str = '',
        reply: Reply | None = None,
    ) -> calls.Call:
        """Return a call that has just been received."""
        head = ports.CallHead(
            request_id=request_id,
            host='host.example',
            headers=((b'Host', b'host.example'),),
            key=key,
            timeout_seconds=timeout_seconds,
            prompt=prompt,
            after_event=after_event,
            resumed_request_id=resumed_request_id,
        )
        return calls.Call(
            head=head,
            method=b'POST',
            uri=prefix.encode() + b'x',
            body=body,
            received_at=self.runtime.now(),
            reply=reply or Reply(),
        )

    async def serve(
        self, prefix: str, *script: abc.Sequence[Step], **fields: typing.Any
    ) -> tuple[calls.Call, Reply]:
        """Run a call through the filters; the targets respond by a script."""
        self.targets.script = list(script)
        call = self.create_call(prefix, **fields)
        await routers.run_filters(call, self.router)
        assert isinstance(call.reply, Reply)
        return call, call.reply
