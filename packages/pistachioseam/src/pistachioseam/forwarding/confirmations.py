"""Confirmation of what the store holds by another host of the domain.

Load pattern: many hosts that each watch the store for themselves. Calls to
the store are dear and calls within a domain are not, so one host of each
domain asks the store and the others ask that host. They read the store only
when that host has seen a change that they have not. A confirmation carries
its age, counted from when the store was asked, so a chain of hosts cannot
make old knowledge look fresh.
"""

import asyncio
from collections import abc
import typing

import attrs

HOLD_SECONDS = 0.5
"""Time for which a question waits for a change."""
MAX_AGE_SECONDS = 1.8
"""Age beyond which the store is asked directly; a watch of the store waits
for 0.8 s, and a host stays ready for 3 s."""
DIRECT_SECONDS = 2.0
"""Time for which the store is asked directly when a peer does not confirm."""
CHECK_SECONDS = 0.5
"""Pause between two looks for a peer that could confirm."""
LONG_AGO = float('-inf')


@attrs.frozen(kw_only=True)
class TableWord:
    """What a host says of a table.

    It has read the table up to `cursor`, saw its last change at `changed`,
    and the store confirmed that `age_seconds` ago.
    """

    cursor: int
    changed: int
    age_seconds: float


@attrs.frozen(kw_only=True)
class StoreWord:
    """Answer to a question that was held for `held_seconds`."""

    desired: TableWord
    targets: TableWord
    held_seconds: float


@attrs.frozen(kw_only=True)
class StoreQuestion:
    """Cursors up to which the asking host has read."""

    desired_cursor: int
    targets_cursor: int


class Witness(typing.Protocol):
    """The host of the domain that asks the store for the others."""

    def find(self) -> str | None:
        """Return its peer address, None if it is this host."""

    async def ask(
        self, address: str, question: StoreQuestion
    ) -> StoreWord | None:
        """Return its answer, None if there is none in time."""


class TableMark:
    """How far this host has read a table of the store.

    `is_direct` is set while this host asks the store itself.
    """

    def __init__(self) -> None:
        self.cursor: int | None = None
        self.changed = 0
        self.confirmed_at = LONG_AGO
        self.is_direct = asyncio.Event()
        self.is_direct.set()
        self._listeners: list[abc.Callable[[], None]] = []

    def add_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def note_read(
        self, cursor: int, has_changed: bool, sent_at: float
    ) -> None:
        """Note a read of the store that was sent at `sent_at`."""
        self._move(cursor, sent_at)
        if has_changed:
            self.changed = max(self.changed, cursor)
            for listener in self._listeners:
                listener()

    def note_word(self, word: TableWord, confirmed_at: float) -> None:
        """Note that a peer has confirmed what this host has read."""
        self._move(word.cursor, confirmed_at)
        self.changed = max(self.changed, word.changed)

    def _move(self, cursor: int, confirmed_at: float) -> None:
        self.cursor = max(cursor, self.cursor or 0)
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def forget(self) -> None:
        """Note that all must be read again."""
        self.cursor = None

    def describe(self, now: float) -> TableWord | None:
        """Return what a peer is told, None before the first read."""
        if self.cursor is None:
            return None
        return TableWord(
            cursor=self.cursor,
            changed=self.changed,
            age_seconds=now - self.confirmed_at,
        )


class Confirmer:
    """Answers the questions of the domain's other hosts."""

    def __init__(
        self,
        desired: TableMark,
        targets: TableMark,
        read_boot_clock: abc.Callable[[], float],
    ) -> None:
        self._desired = desired
        self._targets = targets
        self._read_boot_clock = read_boot_clock
        self._changed = asyncio.Event()
        for mark in (desired, targets):
            mark.add_listener(self._wake)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, question: StoreQuestion) -> StoreWord | None:
        """Answer at once if something has changed, else after a while."""
        asked_at = self._read_boot_clock()
        if not self._has_changed(question):
            changed = self._changed
            try:
                async with asyncio.timeout(HOLD_SECONDS):
                    await changed.wait()
            except TimeoutError:
                # Nothing has changed; the answer confirms just that.
                pass
        now = self._read_boot_clock()
        desired = self._desired.describe(now)
        targets = self._targets.describe(now)
        if desired is None or targets is None:
            return None
        return StoreWord(
            desired=desired, targets=targets, held_seconds=now - asked_at
        )

    def _has_changed(self, question: StoreQuestion) -> bool:
        return (
            self._desired.changed > question.desired_cursor
            or self._targets.changed > question.targets_cursor
        )


class TableReader(typing.Protocol):
    """Watch of one table."""

    mark: TableMark

    async def read(self, wait_seconds: float | None = None) -> bool:
        """Read the store once; tell whether it answered."""

    def note_confirmed(self, confirmed_at: float) -> None:
        """Act on a confirmation that nothing has changed."""


class Follower:
    """Keeps this host's watches up to date through its domain's witness."""

    def __init__(
        self,
        desired: TableReader,
        targets: TableReader,
        witness: Witness,
        read_boot_clock: abc.Callable[[], float],
        sleep: abc.Callable[[float], abc.Awaitable[None]],
    ) -> None:
        self._desired = desired
        self._targets = targets
        self._witness = witness
        self._read_boot_clock = read_boot_clock
        self._sleep = sleep

    async def run(self) -> None:
        """Follow the witness for ever, and the store where there is none."""
        while True:
            address = self._witness.find()
            if address is None:
                self._set_direct(True)
                await self._sleep(CHECK_SECONDS)
            elif await self.follow(address):
                self._set_direct(False)
            else:
                self._set_direct(True)
                await self._sleep(DIRECT_SECONDS)

    def _set_direct(self, is_direct: bool) -> None:
        for reader in (self._desired, self._targets):
            if is_direct:
                reader.mark.is_direct.set()
            else:
                reader.mark.is_direct.clear()

    async def follow(self, address: str) -> bool:
        """Ask once; tell whether this host is up to date by the answer."""
        desired = self._desired.mark.cursor
        targets = self._targets.mark.cursor
        if desired is None or targets is None:
            return False
        asked_at = self._read_boot_clock()
        question = StoreQuestion(
            desired_cursor=desired, targets_cursor=targets
        )
        word = await self._witness.ask(address, question)
        if word is None:
            return False
        # The answer was made no earlier than this.
        made_at = asked_at + word.held_seconds
        return await self._take(
            self._desired, word.desired, made_at
        ) and await self._take(self._targets, word.targets, made_at)

    async def _take(
        self, reader: TableReader, word: TableWord, made_at: float
    ) -> bool:
        """Take in a confirmation, or read what has changed."""
        cursor = reader.mark.cursor
        if cursor is None or word.changed > cursor:
            return await reader.read(0.0)
        confirmed_at = made_at - word.age_seconds
        if self._read_boot_clock() - confirmed_at > MAX_AGE_SECONDS:
            return False
        reader.mark.note_word(word, confirmed_at)
        reader.note_confirmed(confirmed_at)
        return True
