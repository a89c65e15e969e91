"""Hosts stay within their memory and descriptors under crowds of callers.

Each test guards against a host that holds without a bound what callers have
sent or do not read. The bounds do not depend on the machine's speed: there is
no bound on a time, nor on how many requests of the crowd are served.
"""

import contextlib
import fcntl
import os
import pathlib
import selectors
import socket
import stat
import tempfile
import threading
import time
import typing

import attrs
import fixtures

from pistachioseam_standins import deployment
from pistachioseam_standins import fleet
from tests.failures import test_forwarding
from tests import support

MEMORY_MB = 64.0
"""The capacity setting, far below that of any deployment."""
MAX_DESCRIPTORS = 256
BODY_BYTES = 1_048_576
BODY_CONNECTIONS = 40
SMALL_CHUNKS_BODY_BYTES = 524_288
LARGE_CHUNK_BYTES = 65_536
SMALL_CHUNK_BYTES = 7
PIPELINED_BODY_BYTES = 20_000
PIPELINED_REQUESTS = 500
PIPELINED_CONNECTIONS = 4
RECEIVE_BUFFER_BYTES = 4096
"""Receive buffer of callers that do not read."""
CROWD_SECONDS = 15.0
"""Time after which a crowd sends nothing more."""
HOLD_SECONDS = 3.0
"""Time for which a crowd goes on after it has sent its content. What it sent
may still be in the kernel's buffers."""
POLL_SECONDS = 0.05
MAX_GROWTH_BYTES = 20 * 1_048_576
"""Bound on the growth of memory. The host's budget is 8 MB at these
settings."""
MAX_EXTRA_DESCRIPTORS = 16
"""Bound on descriptors beyond those at rest and the crowd's connections."""
SEND_BYTES = 65_536
HEAD = (
    f'POST /safe/whole HTTP/1.1\r\nHost: {fleet.ROUTE_HOST}\r\n'
    'Authorization: Bearer key-1\r\n'
    'X-Pistachioseam-Request-Id: %s\r\n'
    'X-Pistachioseam-Deadline-Ms: 3000\r\n'
)


class ModestFleet(fleet.Fleet):
    """Fleet whose hosts have little memory and few descriptors."""

    def create_settings(
        self, number: int, address: str, admin_address: str
    ) -> dict[str, typing.Any]:
        """Return the settings of one host, with a low capacity."""
        capacity = {
            'memory_mb': MEMORY_MB,
            'max_descriptors': MAX_DESCRIPTORS,
        }
        settings = super().create_settings(number, address, admin_address)
        return {**settings, 'capacity': capacity}

    def write_desired_state(self, **changes: typing.Any) -> None:
        """Write a desired state with the limits of these tests."""
        limits = {
            'headerBytes': 16_384,
            'maxBodyBytes': BODY_BYTES,
            'headerTimeoutMs': 1000,
            'idleTimeoutMs': 15_000,
        }
        super().write_desired_state(limits=limits, **changes)


class CrowdedHost(fixtures.Fixture):
    """Run one host and its servers while no other such test runs."""

    def _setUp(self) -> None:  # noqa: N802
        folder = pathlib.Path(tempfile.gettempdir())
        lock = (folder / 'pistachioseam-crowds.lock').open('w')
        self.addCleanup(lock.close)
        fcntl.flock(lock, fcntl.LOCK_EX)
        running = ModestFleet(
            fleet.FleetSpec(hosts=1, engines=1, plain=1),
            pathlib.Path(self.useFixture(fixtures.TempDir()).path),
        )
        running.__enter__()
        self.addCleanup(running.__exit__)
        self.host = running.entries[0]


@attrs.frozen
class Usage:
    """Memory of a process in bytes, temporary files included; descriptors."""

    memory_bytes: int
    descriptors: int


def measure(process_id: int) -> Usage:
    """Return the usage of a running process."""
    folder = pathlib.Path(f'/proc/{process_id}')
    pages = int((folder / 'statm').read_text().split()[1])
    memory_bytes = pages * os.sysconf('SC_PAGE_SIZE')
    descriptors = os.listdir(folder / 'fd')
    for name in descriptors:
        # A descriptor may be closed since it was listed.
        with contextlib.suppress(OSError):
            status = os.stat(folder / 'fd' / name)
            if stat.S_ISREG(status.st_mode) and not status.st_nlink:
                memory_bytes += status.st_size
    return Usage(memory_bytes, len(descriptors))


class Crowd:
    """Context manager of a crowd: connections that send and never read.

    Every connection sends its content once, as far as the host takes it, and
    stays open. `peak` is the largest usage of the process while it sends.
    """

    def __init__(
        self, host: deployment.ServerProcess, contents: list[bytes]
    ) -> None:
        self.peak = Usage(0, 0)
        self._host = host
        self._contents = contents
        self._sockets: list[socket.socket] = []
        self._is_sent = threading.Event()
        self._should_stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._send, daemon=True),
            threading.Thread(target=self._measure, daemon=True),
        ]

    def __enter__(self) -> 'Crowd':
        """Connect and start to send."""
        address, _, port = self._host.address.rpartition(':')
        for _ in self._contents:
            connection = socket.socket()
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            connection.connect((address, int(port)))
            connection.setblocking(False)
            self._sockets.append(connection)
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop and close the connections."""
        self._should_stop.set()
        for thread in self._threads:
            thread.join()
        for connection in self._sockets:
            connection.close()

    def hold(self) -> None:
        """Wait until all is sent or the time of the crowd is over, then hold.

        The connections stay open meanwhile.
        """
        self._is_sent.wait()
        time.sleep(HOLD_SECONDS)

    def _send(self) -> None:
        deadline = time.monotonic() + CROWD_SECONDS
        with selectors.DefaultSelector() as selector:
            pairs = zip(self._sockets, self._contents, strict=True)
            for connection, content in pairs:
                rest = memoryview(content)
                selector.register(connection, selectors.EVENT_WRITE, [rest])
            while selector.get_map() and time.monotonic() < deadline:
                if self._should_stop.is_set():
                    break
                for key, _ in selector.select(POLL_SECONDS):
                    self._send_part(selector, key)
        self._is_sent.set()

    def _send_part(
        self, selector: selectors.BaseSelector, key: selectors.SelectorKey
    ) -> None:
        connection = typing.cast(socket.socket, key.fileobj)
        (rest,) = key.data
        try:
            sent = connection.send(rest[:SEND_BYTES])
        except BlockingIOError:
            return
        except OSError:
            # The host may close connections of a crowd.
            selector.unregister(connection)
            return
        key.data[0] = rest[sent:]
        if not key.data[0]:
            selector.unregister(connection)

    def _measure(self) -> None:
        while not self._should_stop.wait(POLL_SECONDS):
            # The test itself finds out that a process has ended.
            with contextlib.suppress(OSError):
                usage = measure(self._host.process.pid)
                self.peak = Usage(
                    max(self.peak.memory_bytes, usage.memory_bytes),
                    max(self.peak.descriptors, usage.descriptors),
                )


def create_head(name: str, length: int | None) -> bytes:
    """Return the head of a request with a length, or with chunks."""
    line = 'Transfer-Encoding: chunked\r\n'
    if length is not None:
        line = f'Content-Length: {length}\r\n'
    return (HEAD % name + line + '\r\n').encode()


def create_chunks(body_bytes: int, chunk_bytes: int) -> bytes:
    """Return a body in chunks without the last one, which ends it."""
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, bytes(chunk_bytes))
    return chunk * (body_bytes // chunk_bytes)


def check_crowd(case: support.Case, contents: list[bytes]) -> None:
    """Check a host's bounds during a crowd and one request afterwards."""
    host = case.useFixture(CrowdedHost()).host
    warm_up = test_forwarding.send(host.address, '/safe/whole')
    case.assertEqual(200, warm_up.status)
    rest = measure(host.process.pid)
    with Crowd(host, contents) as crowd:
        crowd.hold()
        # It stands for an ordinary caller, who keeps to all limits.
        response = test_forwarding.send(host.address, '/safe/whole')
        case.assertIsNone(host.process.poll())
    growth_bytes = crowd.peak.memory_bytes - rest.memory_bytes
    extra = crowd.peak.descriptors - rest.descriptors - len(contents)
    figures = (
        f'growth {growth_bytes} bytes from {rest.memory_bytes}, '
        f'{extra} more descriptors than connections, '
        f'status {response.status}'
    )
    print(figures, flush=True)
    case.assertLess(growth_bytes, MAX_GROWTH_BYTES, figures)
    case.assertLess(extra, MAX_EXTRA_DESCRIPTORS, figures)
    case.assertEqual((200, b'content'), (response.status, response.body))


def test_whole_bodies_that_lack_a_byte(case: support.Case) -> None:
    """Bodies that stop a byte short are not held without a bound."""
    contents = [
        create_head(f'whole-{number}', BODY_BYTES) + bytes(BODY_BYTES - 1)
        for number in range(BODY_CONNECTIONS)
    ]
    check_crowd(case, contents)


def test_bodies_in_large_chunks(case: support.Case) -> None:
    """Bodies in large chunks are not held without a bound."""
    chunks = create_chunks(BODY_BYTES, LARGE_CHUNK_BYTES)
    contents = [
        create_head(f'large-{number}', None) + chunks
        for number in range(BODY_CONNECTIONS)
    ]
    check_crowd(case, contents)


def test_bodies_in_small_chunks(case: support.Case) -> None:
    """Bodies in small chunks do not keep a host from serving others.

    Nor do they take a descriptor each for a temporary file.
    """
    chunks = create_chunks(SMALL_CHUNKS_BODY_BYTES, SMALL_CHUNK_BYTES)
    contents = [
        create_head(f'small-{number}', None) + chunks
        for number in range(BODY_CONNECTIONS)
    ]
    check_crowd(case, contents)


def test_pipelined_requests_with_unread_responses(case: support.Case) -> None:
    """Requests that are sent ahead of unread responses do not pile up."""
    contents = [
        b''.join(
            create_head(f'ahead-{number}-{index}', PIPELINED_BODY_BYTES)
            + bytes(PIPELINED_BODY_BYTES)
            for index in range(PIPELINED_REQUESTS)
        )
        for number in range(PIPELINED_CONNECTIONS)
    ]
    check_crowd(case, contents)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
