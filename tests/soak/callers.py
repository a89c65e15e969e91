"""Callers that send calls of all kinds and record the results."""

from collections import abc
import contextlib
import errno
from http import client
import json
import random
import threading
import time
import uuid

import attrs

from pistachioseam_standins import fleet
from pistachioseam_standins import fleet_server
from tests import deployments

BEHAVIOURS = {
    '/safe/': (
        *('whole', 'slow', 'fail', 'shed', 'copy', 'again', 'cut'),
        *('torn', 'unproven'),
    ),
    '/once/': (
        *('whole', 'slow', 'slow', 'fail', 'shed', 'copy', 'again', 'cut'),
        *('foreign', 'torn', 'unproven'),
    ),
    '/stream/': (
        *('whole', 'whole', 'copy', 'again', 'tear', 'torn', 'unproven'),
    ),
    '/resumable/': ('whole', 'tear', 'drag', 'drag'),
}
"""Behaviours of the server stand-in by route; repeated ones are likelier."""
CALL_INTERVAL_SECONDS = 0.05
QUICK_BEHAVIOURS = dict.fromkeys(
    BEHAVIOURS, ('whole', 'shed', 'again', 'fail')
)
"""Behaviours without delays, for callers that exceed a quota."""
LEAVING_BEHAVIOURS = {'/once/': ('whole', 'slow', 'shed', 'again')}
"""Behaviours for callers that do not wait for long."""
PATIENCE_SECONDS = 0.3
"""Time after which such a caller leaves; its deadline is much later."""
LONG_BEHAVIOURS = {
    '/safe/': ('chunks-300000', 'chunks-2000000'),
    '/once/': ('chunks-300000', 'chunks-2000000'),
}
"""Behaviours with long responses. They have chunks, so that `http.client`
raises an exception for a truncated one."""
ACCOUNT = 'account-1'
LIMITED_ACCOUNT = 'account-3'
"""Account with a quota."""
PROMPT_TOKENS, OUTPUT_TOKENS = 20, 8
STREAMS = ('/stream/', '/resumable/')
"""Routes of calls with a prompt."""
MAX_TAKE_UPS = 20
READ_BYTES = 65_536
MAX_RETRIES = 1
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise that a call has not run and will not run."""
WAYS = ('new id', 'same connection', 'same host', 'other host')
"""How refused work is sent again: under a new id at any host, or under its id
on the same connection, on a new one to the same host, or at another host."""
SOFTWARE_VERSIONS = (fleet_server.FIRST_SOFTWARE, 'v2')
WHOLE_STREAMS = tuple(
    b''.join(
        fleet_server.create_event(number, software)
        for number in range(1, fleet_server.EVENTS_PER_STREAM + 1)
    )
    for software in SOFTWARE_VERSIONS
)
"""The whole stream of each software version."""
EVENT_END = b'\n\n'


@attrs.frozen(kw_only=True)
class CallResult:
    """Result of one call.

    `status` is 0 without a complete response; `has_begun` tells whether the
    status line arrived. `response_id` is the id of the call to which the
    response says it belongs. `is_stamped` is true for the response of a
    server, false for one that the host created. Times are monotonic;
    `connected_at` is 0 if the host was not reached. `received` holds the
    whole events that the caller had before it took the stream up, `body` of an
    incomplete response the part that arrived. `is_reset` is true if the host
    reset the connection before the response: it has not read the request.
    `left_at` is the time at which the caller closed the connection as it would
    not wait any longer, 0 if it did not.
    `work` is the id of the first of the calls that are sent for the same work,
    `repeat` how often it was sent under the id before.
    """

    request_id: str
    prefix: str
    behaviour: str
    address: str
    connected_at: float
    sent_at: float
    status: int = 0
    has_begun: bool = False
    response_id: str = ''
    body: bytes = b''
    is_stamped: bool = False
    error: str = ''
    received: bytes = b''
    is_reset: bool = False
    left_at: float = 0.0
    work: str = ''
    repeat: int = 0
    account: str = ACCOUNT

    def get_name(self) -> str:
        """Return the name under which servers log the runs of this sending."""
        return fleet_server.name_sending(
            self.request_id, str(self.repeat or '')
        )

    def is_refused(self) -> bool:
        """Return whether the host has shown that the call never runs."""
        return self.is_reset or self.status in NOT_RUN_STATUSES

    def get_cost(self) -> int:
        """Return what the call costs of the quota of `LIMITED_ACCOUNT`."""
        if self.prefix in STREAMS:
            return PROMPT_TOKENS + OUTPUT_TOKENS
        return int(fleet.QUOTAS[LIMITED_ACCOUNT]['uncachedTokens'])

    def list_whole_events(self) -> bytes:
        """Return the whole events that the caller has of a stream."""
        whole, end, _ = (self.received + self.body).rpartition(EVENT_END)
        return whole + end


class HostConnection:
    """Connection to a host that is used for call after call.

    It is closed when the host says so or when a call ends without a complete
    response; it is never opened again.
    """

    def __init__(
        self,
        address: str,
        account: str = ACCOUNT,
        patience_seconds: float = deployments.TIMEOUT_SECONDS,
    ) -> None:
        self.address = address
        self._account = account
        host, _, port = address.rpartition(':')
        self._connection = client.HTTPConnection(
            host, int(port), timeout=patience_seconds
        )
        # Otherwise the library would open a closed connection again.
        self._connection.auto_open = 0
        self._connected_at = 0.0

    def __enter__(self) -> 'HostConnection':
        """Connect; calls on a connection that failed have no response."""
        with contextlib.suppress(OSError):
            self._connection.connect()
            self._connected_at = time.monotonic()
        return self

    def __exit__(self, *_: object) -> None:
        """Close the connection."""
        self._connection.close()

    def is_open(self) -> bool:
        """Return whether the connection can be used for a next call."""
        return self._connection.sock is not None

    def call(
        self,
        prefix: str,
        behaviour: str,
        resumed: CallResult | None = None,
        refused: CallResult | None = None,
        keeps_id: bool = False,
    ) -> CallResult:
        """Send one call, which may take up a stream; return its result.

        It may be that for work whose last call was `refused`.
        """
        request_id = uuid.uuid4().hex
        work, repeat = request_id, 0
        if refused is not None:
            work = refused.work
            if keeps_id:
                request_id, repeat = refused.request_id, refused.repeat + 1
        headers = {
            'host': fleet.ROUTE_HOST,
            'authorization': f'Bearer {fleet.ACCOUNT_KEYS[self._account]}',
            'x-pistachioseam-request-id': request_id,
            'x-pistachioseam-deadline-ms': '3000',
            **(create_prompt(request_id) if prefix in STREAMS else {}),
            **({fleet_server.REPEAT_HEADER: str(repeat)} if repeat else {}),
        }
        result = CallResult(
            request_id=request_id,
            prefix=prefix,
            behaviour=behaviour,
            address=self.address,
            connected_at=self._connected_at,
            sent_at=time.monotonic(),
            work=work,
            repeat=repeat,
            account=self._account,
        )
        if resumed is not None:
            received = resumed.list_whole_events()
            headers['resumes'] = resumed.request_id
            headers['last-event-id'] = str(received.count(EVENT_END))
            result = attrs.evolve(result, received=received)
        body = b''
        try:
            self._connection.request(
                'POST',
                prefix + behaviour,
                result.get_name().encode(),
                headers,
            )
            response = self._connection.getresponse()
            result = attrs.evolve(result, has_begun=True)
            while part := response.read1(READ_BYTES):
                body += part
            # Unlike `read`, `read1` raises nothing if the connection ends
            # before a body of declared length, and closes no response.
            if response.length:
                raise client.IncompleteRead(body, response.length)
            response.close()
        except (OSError, client.HTTPException) as error:
            # A call without a response may have run; its runs are checked.
            self._connection.close()
            has_left = isinstance(error, TimeoutError)
            return attrs.evolve(
                result,
                error=repr(error),
                body=body,
                left_at=time.monotonic() if has_left else 0.0,
                is_reset=is_reset_unread(error) and not result.has_begun,
            )
        is_stamped = 'x-pistachioseam-server-stamp' in response.headers
        return attrs.evolve(
            result,
            status=response.status,
            body=body,
            is_stamped=is_stamped,
            response_id=response.headers.get('x-pistachioseam-request-id')
            or _read_refused_id(body),
        )


def _read_refused_id(body: bytes) -> str:
    """Return the id of the call that a host refused, empty if it has none."""
    try:
        return str(json.loads(body)['error']['request_id'])
    except (ValueError, LookupError, TypeError):
        return ''


def create_prompt(request_id: str) -> dict[str, str]:
    """Return the headers of a short prompt of a call's own."""
    return {
        'x-pistachioseam-model': fleet.MODEL,
        'x-pistachioseam-token-count': f'{PROMPT_TOKENS},{OUTPUT_TOKENS}',
        'x-pistachioseam-prompt-prefix': f'{request_id[:8]}:{PROMPT_TOKENS}',
    }


def is_reset_unread(error: Exception) -> bool:
    """Return whether a host closed a connection with unread bytes.

    The kernel resets it then. `RemoteDisconnected`, an end without a reset,
    has no error number.
    """
    return isinstance(error, OSError) and error.errno == errno.ECONNRESET


class Caller:
    """Caller that sends random calls one after another on its own thread.

    `behaviours` are those of the server stand-in, by route. The caller leaves
    if it has to wait for longer than `patience_seconds`.
    """

    def __init__(
        self,
        running: fleet.Fleet,
        seed: int,
        behaviours: abc.Mapping[str, abc.Sequence[str]] = BEHAVIOURS,
        account: str = ACCOUNT,
        patience_seconds: float = deployments.TIMEOUT_SECONDS,
    ) -> None:
        self.results: list[CallResult] = []
        self._behaviours = behaviours
        self._account = account
        self._patience_seconds = patience_seconds
        self._fleet = running
        self._random = random.Random(seed)
        self._should_stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> 'Caller':
        """Start the thread."""
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Wait for the call in progress and end the thread."""
        self.stop()
        self._thread.join()

    def stop(self) -> None:
        """Send no further call."""
        self._should_stop.set()

    def _run(self) -> None:
        while not self._should_stop.is_set():
            host = self._random.choice(self._fleet.entries)
            with HostConnection(
                host.address, self._account, self._patience_seconds
            ) as connection:
                self._use(connection)
            time.sleep(CALL_INTERVAL_SECONDS)

    def _use(self, connection: HostConnection) -> None:
        """Send calls until the connection is closed."""
        while connection.is_open() and not self._should_stop.is_set():
            prefix = self._random.choice(tuple(self._behaviours))
            behaviour = self._random.choice(self._behaviours[prefix])
            result = connection.call(prefix, behaviour)
            self.results.append(result)
            if prefix == '/resumable/' and result.list_whole_events():
                self._take_up(result)
            elif prefix != '/resumable/':
                self._retry(connection, result)
            time.sleep(CALL_INTERVAL_SECONDS)

    def _retry(self, connection: HostConnection, result: CallResult) -> None:
        """Send a refused call again, in one of `WAYS`.

        A connection that was closed is replaced by a new one.
        """
        for _ in range(MAX_RETRIES):
            if not result.is_refused() or self._should_stop.is_set():
                return
            way = self._random.choice(WAYS)
            with contextlib.ExitStack() as stack:
                if way != 'same connection' or not connection.is_open():
                    address = self._choose_address(way, result.address)
                    connection = stack.enter_context(
                        HostConnection(
                            address, self._account, self._patience_seconds
                        )
                    )
                result = connection.call(
                    result.prefix,
                    result.behaviour,
                    refused=result,
                    keeps_id=way != 'new id',
                )
            self.results.append(result)
            time.sleep(CALL_INTERVAL_SECONDS)

    def _choose_address(self, way: str, last_address: str) -> str:
        """Return the address of the host for a call that was refused."""
        addresses = [host.address for host in self._fleet.entries]
        if way in ('same connection', 'same host'):
            return last_address
        if way == 'other host':
            others = [each for each in addresses if each != last_address]
            addresses = others or addresses
        return self._random.choice(addresses)

    def _take_up(self, broken: CallResult) -> None:
        """Take a broken stream up at any host, until it ends or is refused.

        The take-ups name the request that brought the first event.
        """
        result = broken
        for _ in range(MAX_TAKE_UPS):
            if result.status or self._should_stop.is_set():
                return
            host = self._random.choice(self._fleet.entries)
            with HostConnection(host.address, self._account) as connection:
                result = connection.call(
                    broken.prefix,
                    broken.behaviour,
                    attrs.evolve(
                        broken, received=b'', body=result.list_whole_events()
                    ),
                )
            self.results.append(result)
            time.sleep(CALL_INTERVAL_SECONDS)


def call(address: str, prefix: str, behaviour: str) -> CallResult:
    """Send one call on a connection of its own and return its result."""
    with HostConnection(address) as connection:
        return connection.call(prefix, behaviour)
