"""Crowds of callers that a host does not control, and what a host uses.

What a host uses does not depend on the machine's speed: memory, descriptors,
and whether it lives.
"""

from collections import abc
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

import attrs
import fixtures

from pistachioseam_standins import deployment
from pistachioseam_standins import fleet
from tests import support

KIBIBYTE = 1024
MEBIBYTE = 1_048_576
RECEIVE_BUFFER_BYTES = 4096
"""Receive buffer of the callers of a crowd."""
CROWD_SECONDS = 15.0
"""Time after which a crowd sends nothing more."""
HOLD_SECONDS = 3.0
"""Time for which a crowd goes on after it has sent its content. What it sent
may still be in the kernel's buffers."""
POLL_SECONDS = 0.05
SEND_BYTES = 65_536
DEADLINE_MS = 3000
"""Time that the callers of a crowd allow for a call."""
MAX_EXTRA_DESCRIPTORS = 16
"""Bound on descriptors beyond those at rest and those of the calls."""
LISTED_INODE = 9
"""Number of the column of a socket's inode in `/proc/PID/net/tcp`."""
LISTED_QUEUES = 4


class Alone(fixtures.Fixture):
    """Wait until no other test with a crowd runs."""

    def _setUp(self) -> None:  # noqa: N802
        folder = pathlib.Path(tempfile.gettempdir())
        lock = (folder / 'pistachioseam-crowds.lock').open('w')
        self.addCleanup(lock.close)
        fcntl.flock(lock, fcntl.LOCK_EX)


@attrs.frozen
class Caller:
    """What one caller of a crowd sends, and how fast it reads.

    It sends its content once, as far as the host takes it, and stays open. If
    it is persistent, it connects again and starts anew when the host closes
    the connection.
    """

    content: bytes = attrs.field(repr=False)
    read_bytes_per_second: int = 0
    is_persistent: bool = False


@attrs.frozen
class Usage:
    """What a process uses.

    `memory_bytes` is its resident memory, `peak_memory_bytes` the most so far,
    both with its temporary files; `unread_bytes` is what its sockets have
    received and it has not read yet.
    """

    memory_bytes: int
    peak_memory_bytes: int
    unread_bytes: int
    descriptors: int

    def count_bytes(self) -> int:
        """Return the most that counts towards the memory of its machine."""
        return self.peak_memory_bytes + self.unread_bytes


def measure(process_id: int) -> Usage:
    """Return the usage of a running process."""
    folder = pathlib.Path(f'/proc/{process_id}')
    status_lines = (folder / 'status').read_text().splitlines()
    sizes = dict(line.split(':', 1) for line in status_lines)
    file_bytes = 0
    inodes = set()
    descriptors = os.listdir(folder / 'fd')
    for name in descriptors:
        # A descriptor may be closed since it was listed.
        with contextlib.suppress(OSError):
            status = os.stat(folder / 'fd' / name)
            if stat.S_ISREG(status.st_mode) and not status.st_nlink:
                file_bytes += status.st_size
            if stat.S_ISSOCK(status.st_mode):
                inodes.add(str(status.st_ino))
    return Usage(
        parse_size(sizes['VmRSS']) + file_bytes,
        parse_size(sizes['VmHWM']) + file_bytes,
        count_unread_bytes(folder, inodes),
        len(descriptors),
    )


def parse_size(text: str) -> int:
    """Return a size in bytes that the kernel states in kB."""
    return int(text.split()[0]) * KIBIBYTE


def count_unread_bytes(folder: pathlib.Path, inodes: set[str]) -> int:
    """Return the bytes in the receive queues of a process's TCP sockets."""
    lines = (folder / 'net' / 'tcp').read_text().splitlines()[1:]
    total = 0
    for columns in map(str.split, lines):
        if columns[LISTED_INODE] in inodes:
            total += int(columns[LISTED_QUEUES].partition(':')[2], 16)
    return total


class Crowd:
    """Context manager of a crowd of callers of one host.

    `peaks` has the largest usage of each measured process by name, each of
    its numbers for itself, and of the sum of the two kinds of bytes.
    """

    def __init__(
        self,
        host: deployment.ServerProcess,
        callers: list[Caller],
        others: tuple[deployment.ServerProcess, ...] = (),
    ) -> None:
        measured = (host, *others)
        self.peaks = {server.name: Usage(0, 0, 0, 0) for server in measured}
        self.most_bytes = {server.name: 0 for server in measured}
        self._host = host
        self._measured = measured
        self._callers = callers
        self._sockets: list[socket.socket] = []
        self._is_sent = threading.Event()
        self._should_stop = threading.Event()
        self._threads = [
            threading.Thread(target=work, daemon=True)
            for work in (self._send, self._measure, self._read)
        ]

    def __enter__(self) -> 'Crowd':
        """Connect and start to send."""
        self._sockets = [self._connect() for _ in self._callers]
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

    def _connect(self) -> socket.socket:
        address, _, port = self._host.address.rpartition(':')
        connection = socket.socket()
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        connection.connect((address, int(port)))
        connection.setblocking(False)
        return connection

    def hold(self, seconds: float = HOLD_SECONDS) -> None:
        """Wait until all is sent or the time of the crowd is over, then hold.

        The connections stay open meanwhile.
        """
        self._is_sent.wait()
        time.sleep(seconds)

    def _send(self) -> None:
        deadline = time.monotonic() + CROWD_SECONDS
        with selectors.DefaultSelector() as selector:
            for number in range(len(self._callers)):
                self._start_sending(selector, number)
            while selector.get_map() and time.monotonic() < deadline:
                if self._should_stop.is_set():
                    break
                for key, _ in selector.select(POLL_SECONDS):
                    self._send_part(selector, key)
        self._is_sent.set()

    def _start_sending(
        self, selector: selectors.BaseSelector, number: int
    ) -> None:
        rest = memoryview(self._callers[number].content)
        selector.register(
            self._sockets[number], selectors.EVENT_WRITE, [number, rest]
        )

    def _send_part(
        self, selector: selectors.BaseSelector, key: selectors.SelectorKey
    ) -> None:
        number, rest = key.data
        connection = self._sockets[number]
        try:
            sent = connection.send(rest[:SEND_BYTES])
        except BlockingIOError:
            return
        except OSError:
            # The host may close connections of a crowd.
            selector.unregister(connection)
            if self._callers[number].is_persistent:
                connection.close()
                self._sockets[number] = self._connect()
                self._start_sending(selector, number)
            return
        key.data[1] = rest[sent:]
        if not key.data[1]:
            selector.unregister(connection)

    def _read(self) -> None:
        while not self._should_stop.wait(POLL_SECONDS):
            for number, caller in enumerate(self._callers):
                size = int(caller.read_bytes_per_second * POLL_SECONDS)
                if size:
                    # There may be nothing to read, or no connection.
                    with contextlib.suppress(OSError):
                        self._sockets[number].recv(size)

    def _measure(self) -> None:
        while not self._should_stop.wait(POLL_SECONDS):
            for server in self._measured:
                # The test itself finds out that a process has ended.
                with contextlib.suppress(OSError):
                    self._record(server.name, measure(server.process.pid))

    def _record(self, name: str, usage: Usage) -> None:
        peak = self.peaks[name]
        self.peaks[name] = Usage(
            max(peak.memory_bytes, usage.memory_bytes),
            max(peak.peak_memory_bytes, usage.peak_memory_bytes),
            max(peak.unread_bytes, usage.unread_bytes),
            max(peak.descriptors, usage.descriptors),
        )
        self.most_bytes[name] = max(self.most_bytes[name], usage.count_bytes())


def create_head(
    name: str,
    length: int | None,
    path: str = '/safe/whole',
    deadline_ms: int = DEADLINE_MS,
) -> bytes:
    """Return the head of a request with a length, or with chunks."""
    framing = 'Transfer-Encoding: chunked'
    if length is not None:
        framing = f'Content-Length: {length}'
    return (
        f'POST {path} HTTP/1.1\r\nHost: {fleet.ROUTE_HOST}\r\n'
        'Authorization: Bearer key-1\r\n'
        f'X-Pistachioseam-Request-Id: {name}\r\n'
        f'X-Pistachioseam-Deadline-Ms: {deadline_ms}\r\n'
        f'{framing}\r\n\r\n'
    ).encode()


def create_chunks(body_bytes: int, chunk_bytes: int) -> bytes:
    """Return a body in chunks without the last one, which ends it."""
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, bytes(chunk_bytes))
    return chunk * (body_bytes // chunk_bytes)


def check_usage(
    case: support.Case,
    hosts: tuple[deployment.ServerProcess, ...],
    callers: list[Caller],
    max_bytes: int,
    send_ordinary: abc.Callable[[], None],
    hold_seconds: float = HOLD_SECONDS,
) -> None:
    """Check hosts during a crowd of the first one, and a call afterwards.

    `max_bytes` bounds what counts towards the memory of each. A call takes
    one descriptor for its caller and one for its target. `send_ordinary`
    sends the call of a caller who keeps to all limits, and checks its
    response.
    """
    send_ordinary()
    rests = {host.name: measure(host.process.pid) for host in hosts}
    figures = []
    with Crowd(hosts[0], callers, hosts[1:]) as crowd:
        crowd.hold(hold_seconds)
        for host in hosts:
            rest, peak = rests[host.name], crowd.peaks[host.name]
            extra = peak.descriptors - rest.descriptors - 2 * len(callers)
            figures.append(
                f'{host.name}: {crowd.most_bytes[host.name]} bytes at the'
                f' most, memory {peak.peak_memory_bytes} from'
                f' {rest.memory_bytes}, unread {peak.unread_bytes},'
                f' descriptors {peak.descriptors} from {rest.descriptors}'
            )
            print(figures[-1], flush=True)
            case.assertIsNone(host.process.poll(), host.name)
            case.assertLess(extra, MAX_EXTRA_DESCRIPTORS, figures[-1])
        send_ordinary()
        for host in hosts:
            case.assertIsNone(host.process.poll(), host.name)
            most_bytes = crowd.most_bytes[host.name]
            case.assertLess(most_bytes, max_bytes, '\n'.join(figures))
