"""Calls before servers that answer in all ways the protocol allows.

Real connections and the router's filters; hypothesis draws the answers. To
draw new ones: `SEEDS=more EXAMPLES=300 scripts/tests test_adversary`.
"""

import asyncio
import collections
import contextlib
import io
import typing

import attrs
import hypothesis
from hypothesis import strategies
from twisted.internet import protocol

from pistachioseam.forwarding import calls
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import router as routers
from pistachioseam_entry import reactors
from pistachioseam_entry import target_connections
from pistachioseam_platform import headers
from pistachioseam_standins import adversarial_server
from pistachioseam_standins import adversary
from tests import call_fakes
from tests.soak import callers
from tests import support

SERVERS = 3
CALL_SECONDS = 0.25
"""Timeout of a call; servers that answer do so within `MAX_RUN_SECONDS`."""
MAX_RUN_SECONDS = 0.02
LATE_SECONDS = 0.1
"""Time after the calls in which no refused one may run."""
TEST_TIMEOUT_SECONDS = 20.0
ONCE_PREFIXES = ('/once/', '/stream/')
ANSWERS = strategies.builds(
    adversary.Answer,
    status=strategies.sampled_from((200, 200, 200, 408, 429, 500, 503)),
    is_executed=strategies.booleans(),
    has_id=strategies.sampled_from((True, True, True, False)),
    has_stamp=strategies.sampled_from((True, True, False)),
    framing=strategies.sampled_from(('length', 'length', 'chunks', 'close')),
    ending=strategies.sampled_from(
        ('whole', 'whole', 'whole', 'whole', 'reset', 'torn', 'mute', 'extra')
    ),
    copy=strategies.sampled_from(('', 'next', 'next', 'after', 'idle')),
    split=strategies.one_of(strategies.just(1.0), strategies.floats(0, 1)),
    order=strategies.floats(0, 1),
    run_seconds=strategies.floats(0, MAX_RUN_SECONDS),
    copy_seconds=strategies.floats(0, MAX_RUN_SECONDS),
)
REJECTIONS = strategies.builds(
    adversary.Answer,
    status=strategies.just(503),
    is_executed=strategies.just(False),
    copy=strategies.just('next'),
)
"""Rejections whose second copies come before the next answers."""
SCRIPTS = strategies.one_of(
    strategies.lists(ANSWERS, max_size=6),
    strategies.tuples(
        strategies.lists(REJECTIONS, min_size=SERVERS, max_size=SERVERS),
        strategies.lists(ANSWERS, max_size=3),
    ).map(lambda parts: parts[0] + parts[1]),
)
"""Answers of the servers; in some all of them reject a call at first."""
ROUNDS = strategies.lists(
    strategies.tuples(
        strategies.lists(
            strategies.sampled_from(tuple(call_fakes.ROUTES)),
            min_size=1,
            max_size=3,
        ),
        SCRIPTS,
    ),
    min_size=1,
    max_size=6,
)
"""Routes of the calls that are sent at a time, and the answers of the servers
in the order of the requests; later ones are whole."""


class ScriptedServer(adversarial_server.AdversarialServer):
    """Server whose answers a test draws, in common with other servers."""

    def __init__(
        self,
        name: str,
        model: str,
        script: collections.deque[adversary.Answer],
    ) -> None:
        super().__init__(
            name, '', '', '', model, 'v1', faults=adversary.Faults()
        )
        self._script = script

    def draw_answer(self) -> adversary.Answer:
        """Return the next answer; a rejection has the status of one."""
        if not self._script:
            return adversary.Answer()
        answer = self._script.popleft()
        if answer.is_executed:
            return answer
        return attrs.evolve(answer, status=503, has_stamp=False)


class AdversarialTargets:
    """Servers of both services on loopback; `calls` are those sent to them."""

    def __init__(self) -> None:
        self.script: collections.deque[adversary.Answer] = collections.deque()
        self.servers: list[ScriptedServer] = []
        self.calls: list[calls.Call] = []
        self._ports: list[typing.Any] = []
        self._pool = target_connections.ConnectionPool(headers.HeaderCodec())
        self.fixture = call_fakes.RouterFixture(
            self._start(call_fakes.PLAIN_SERVICE, '')
            + self._start(call_fakes.ENGINE_SERVICE, call_fakes.MODEL),
            typing.cast(typing.Any, self._pool),
        )

    def _start(self, service: str, model: str) -> list[catalog.LiveTarget]:
        targets = []
        for number in range(SERVERS):
            target = call_fakes.create_target(
                number + SERVERS * bool(model), service
            )
            server = ScriptedServer(target.name, model, self.script)
            self.servers.append(server)
            factory: typing.Any = protocol.Factory.forProtocol(
                lambda server=server: adversarial_server.Connection(server)
            )
            port = reactors.get_reactor().listenTCP(
                0, factory, interface='127.0.0.1'
            )
            self._ports.append(port)
            address = f'127.0.0.1:{port.getHost().port}'
            targets.append(attrs.evolve(target, address=address))
        return targets

    async def call(self, prefix: str, request_id: str = '') -> None:
        """Send one call through the filters, by default with a new id."""
        request_id = request_id or f'call-{len(self.calls)}'
        call = self.fixture.create_call(
            prefix,
            timeout_seconds=CALL_SECONDS,
            body=request_id.encode(),
            request_id=request_id,
        )
        named = (headers.REQUEST_ID, request_id.encode())
        call.head = attrs.evolve(
            call.head, headers=(*call.head.headers, named)
        )
        self.calls.append(call)
        await routers.run_filters(call, self.fixture.router)

    async def close(self) -> None:
        """Close all connections and ports."""
        self._pool.__exit__()
        for port in self._ports:
            stopped = port.stopListening()
            await stopped.asFuture(asyncio.get_running_loop())

    def count_runs(self) -> collections.Counter[str]:
        """Return how often each request has run."""
        return collections.Counter(
            request_id
            for server in self.servers
            for request_id in server.executed_request_ids
        )

    def create_whole_body(self, call: calls.Call) -> bytes:
        """Return the body of the whole response to a call."""
        if call.uri.decode().startswith(('/once/', '/safe/')):
            return call.body
        request = adversarial_server.Request(b'POST /x HTTP/1.1')
        return self.servers[-1].create_body(request)


def find_violation(
    targets: AdversarialTargets, call: calls.Call, runs: int
) -> str:
    """Return what is wrong with the end of a call, empty if it is sound."""
    reply = typing.cast(call_fakes.Reply, call.reply)
    status = call.refusal.status if call.refusal else reply.status
    is_once = call.uri.decode().startswith(ONCE_PREFIXES)
    if is_once and runs > 1:
        return f'ran {runs} times'
    is_own = call.refusal is not None
    if status in callers.NOT_RUN_STATUSES and runs and (is_once or is_own):
        return f'refused with {status}, ran'
    if (
        call.refusal is None
        and reply.status == 200
        and reply.body != targets.create_whole_body(call)
    ):
        return f'foreign or incomplete response {reply.body!r}'
    return ''


async def play(case: support.Case, rounds: typing.Any) -> None:
    """Send the calls of each round at once; check all of them at the end."""
    targets = AdversarialTargets()
    try:
        for prefixes, answers in rounds:
            targets.script.clear()
            targets.script.extend(answers)
            await asyncio.gather(*map(targets.call, prefixes))
        await asyncio.sleep(LATE_SECONDS)
    finally:
        await targets.close()
    runs = targets.count_runs()
    for call in targets.calls:
        found = find_violation(targets, call, runs[call.request_id])
        case.assertEqual('', found, f'{call.request_id} of {call.uri!r}')


def test_calls_before_adversarial_servers_break_no_promise(
    case: support.Case,
) -> None:
    """Guards against TWICE, REFUSED and MIXED beside any answers."""

    @hypothesis.given(ROUNDS)
    def check(rounds: typing.Any) -> None:
        loop = reactors.get_reactor()._asyncioEventloop
        # The servers print what they run.
        with contextlib.redirect_stdout(io.StringIO()):
            loop.run_until_complete(
                asyncio.wait_for(play(case, rounds), TEST_TIMEOUT_SECONDS)
            )

    check()


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
