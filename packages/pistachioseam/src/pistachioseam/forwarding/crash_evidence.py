"""Evidence that prompt parts crash the targets that run them.

One part of a prompt may crash each target that answers it, whatever else the
call holds. Such calls are all different, so each shared part is followed by
itself: it is quarantined after targets crashed under it on several occasions
and no call with it was answered whole in between. Parts that merely share
targets with it are answered elsewhere, which clears them, and are not
quarantined as long as another part explains all crashes under them and more,
or the same ones although, unlike them, it has never been answered.

Hosts exchange what they have seen. Merging is a union, so reports may arrive
in any order and more than once.
"""

from collections import abc
import heapq

import attrs

from pistachioseam import events
from pistachioseam.forwarding import prompts
from pistachioseam import interfaces
from pistachioseam import quarantine

OCCASIONS_TO_QUARANTINE = 3
"""Occasions of crashes after which a part is quarantined."""
MANY_CRASHES = 5
"""Crashes after which two occasions are enough. When calls come densely, all
targets that are up end at once, and are back only seconds later."""
CRASH_SPREAD_SECONDS = 0.5
"""Crashes of several targets within this time are one occasion, since a
failure that hits many targets at once says nothing about a part."""
SURVIVAL_SECONDS = 1.0
"""Time after its first event from which an answer that breaks off in a crash
is no evidence, as a crashing part ends its target as the answer begins."""
QUARANTINE_SECONDS = 120.0
"""Time from the last crash until a call with the part may be tried again."""
RECORD_SECONDS = quarantine.KEEP_SECONDS
"""Time for which a crash is remembered."""
PEER_DELAY_SECONDS = 0.5
"""Longest delay of a peer's report. A crash that seems to follow a survival by
less may have preceded it."""
MAX_PARTS = 2048
"""Parts with a record; those with the least evidence are dropped first."""
PRUNE_SECONDS = 10.0
"""Shortest time between two removals of outdated records."""
MAX_ANSWERED = 4096
"""Parts remembered as answered; those answered last are kept."""
MAX_SUSPECTS = 32
"""Parts, those with the most crashes, that are compared with each other. One
that crashes targets has all crashes; when many targets crash for another
reason, hundreds of parts have some."""
MAX_CRASHES = 32
"""Crashes recorded for each part; the oldest are dropped."""

PartKey = tuple[str, str]
"""Names of a model and of a part of its prompts."""
Incarnation = tuple[str, int]
"""Name and start time of a target, as `LiveTarget.get_incarnation` returns."""


@attrs.frozen(kw_only=True)
class PartReport:
    """Evidence about one part, as exchanged with peers; ages in seconds.

    `crash_ages` holds the age of each crash by incarnation of the target;
    `survival_age` is None if no answer is known since the first crash.
    """

    model: str
    name: str
    crash_ages: abc.Mapping[Incarnation, float]
    survival_age: float | None = None


@attrs.define
class _PartRecord:
    """Crashes after the last survival; times are monotonic seconds.

    `observed_at` is the time of the last change that this host has observed
    itself, `changed_at` also counts those reported by peers.
    """

    crashed_at: dict[Incarnation, float] = attrs.field(factory=dict)
    survived_at: float = float('-inf')
    changed_at: float = float('-inf')
    observed_at: float = float('-inf')

    def record_observation(self, now: float) -> None:
        """Record that this host has observed a change."""
        self.changed_at = self.observed_at = now

    def add_crash(self, incarnation: Incarnation, at: float) -> bool:
        """Add a crash; return whether it was unknown.

        The earliest time counts, as reports by way of others come late.
        Crashes that a survival has cleared are ignored.
        """
        if at <= self.survived_at + PEER_DELAY_SECONDS:
            return False
        known_at = self.crashed_at.get(incarnation)
        if known_at is not None:
            self.crashed_at[incarnation] = min(known_at, at)
            return False
        self.crashed_at[incarnation] = at
        if len(self.crashed_at) > MAX_CRASHES:
            del self.crashed_at[
                min(self.crashed_at, key=lambda key: self.crashed_at[key])
            ]
        return True

    def add_survival(self, at: float) -> bool:
        """Add a survival; return whether it cleared crashes."""
        self.survived_at = max(self.survived_at, at)
        return self.drop_crashes_before(self.survived_at + PEER_DELAY_SECONDS)

    def drop_crashes_before(self, at: float) -> bool:
        """Drop crashes up to a time; return whether there were any."""
        known = len(self.crashed_at)
        self.crashed_at = {
            incarnation: crashed_at
            for incarnation, crashed_at in self.crashed_at.items()
            if crashed_at > at
        }
        return len(self.crashed_at) < known

    def get_last_crash(self) -> float:
        """Return the time of the last crash."""
        return max(self.crashed_at.values(), default=float('-inf'))


def count_occasions(times: abc.Iterable[float]) -> int:
    """Return the number of occasions on which crashes happened."""
    count = 0
    began_at = float('-inf')
    for at in sorted(times):
        if at - began_at > CRASH_SPREAD_SECONDS:
            count += 1
            began_at = at
    return count


class CrashEvidence:
    """Crashes and survivals of suspected prompt parts."""

    def __init__(
        self,
        sink: interfaces.EventSink,
        occasions_to_quarantine: int = OCCASIONS_TO_QUARANTINE,
    ) -> None:
        self._sink = sink
        self._threshold = occasions_to_quarantine
        self._records: dict[PartKey, _PartRecord] = {}
        self._answered: dict[PartKey, None] = {}
        self._suspects: set[PartKey] = set()
        self._reported: set[PartKey] = set()
        self._pruned_at = float('-inf')

    def record_crash(
        self, prompt: prompts.Prompt, incarnation: Incarnation, now: float
    ) -> None:
        """Record that a target crashed while it ran a call with a prompt."""
        keys = [(prompt.model, name) for name in prompt.list_shared_names()]
        for key in keys:
            record = self._records.setdefault(key, _PartRecord())
            record.drop_crashes_before(now - RECORD_SECONDS)
            if record.add_crash(incarnation, now):
                record.record_observation(now)
            self._update_suspect(key)
        self._report_quarantined(keys, now)
        self._prune(now)

    def record_survival(self, prompt: prompts.Prompt, now: float) -> None:
        """Record that a call with a prompt was answered whole.

        Parts without a crash get no record, so that peers are told nothing
        while no target crashes.
        """
        for name in prompt.list_shared_names():
            key = (prompt.model, name)
            self._answered.pop(key, None)
            self._answered[key] = None
            record = self._records.get(key)
            if record is not None and record.add_survival(now):
                record.record_observation(now)
                self._update_suspect(key)
        while len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]

    def find_quarantined(self, prompt: prompts.Prompt, now: float) -> str:
        """Return the name of a quarantined part of a prompt, empty if none."""
        for name in prompt.list_shared_names() if self._records else ():
            if self._is_quarantined((prompt.model, name), now):
                return name
        return ''

    def find_blocked(self, prompt: prompts.Prompt) -> str:
        """Return the name of a part that was quarantined and not cleared.

        Empty if there is none.
        """
        for name in prompt.list_shared_names() if self._records else ():
            key = (prompt.model, name)
            if self._has_evidence(key, since=float('-inf')):
                return name
        return ''

    def list_crash_ages(
        self, key: PartKey, now: float
    ) -> dict[Incarnation, float]:
        """Return the age in seconds of each crash under a part."""
        record = self._records.get(key, _PartRecord())
        return {
            incarnation: now - at
            for incarnation, at in record.crashed_at.items()
        }

    def clear(self, key: PartKey, now: float) -> None:
        """Record that a call with a part was answered at another host."""
        record = self._records.get(key)
        if record is not None and record.add_survival(now):
            record.changed_at = now
            self._update_suspect(key)

    def list_quarantined(self, now: float) -> tuple[PartKey, ...]:
        """Return the sorted models and names of quarantined parts."""
        suspects = self._list_heaviest_suspects()
        since = now - QUARANTINE_SECONDS
        return tuple(
            sorted(k for k in suspects if self._stands_out(k, suspects, since))
        )

    def list_reports(
        self,
        now: float,
        within_seconds: float,
        max_parts: int,
        is_own: bool = False,
    ) -> tuple[PartReport, ...]:
        """Return reports for peers, those with the most evidence first.

        They are of the quarantined parts, and of those whose record changed
        within `within_seconds`; if `is_own`, by this host's observations.
        """
        keys = []
        quarantined = frozenset(self.list_quarantined(now))
        for key, record in self._records.items():
            at = record.observed_at if is_own else record.changed_at
            is_recent = now - at < within_seconds
            if at > float('-inf') and (is_recent or key in quarantined):
                keys.append(key)
        keys.sort(key=self._weigh, reverse=True)
        return tuple(self._create_report(k, now) for k in keys[:max_parts])

    def _create_report(self, key: PartKey, now: float) -> PartReport:
        record = self._records[key]
        has_survived = record.survived_at > float('-inf')
        return PartReport(
            model=key[0],
            name=key[1],
            crash_ages=self.list_crash_ages(key, now),
            survival_age=now - record.survived_at if has_survived else None,
        )

    def merge(self, reports: abc.Iterable[PartReport], now: float) -> None:
        """Merge the evidence of a peer."""
        keys = [self._merge_report(report, now) for report in reports]
        self._report_quarantined(keys, now)
        self._prune(now)

    def _merge_report(self, report: PartReport, now: float) -> PartKey:
        """Merge the evidence about one part; return its key."""
        key = (report.model, report.name)
        is_changed = key not in self._records
        record = self._records.setdefault(key, _PartRecord())
        record.drop_crashes_before(now - RECORD_SECONDS)
        if report.survival_age is not None:
            is_changed |= record.add_survival(now - report.survival_age)
        for incarnation, age in report.crash_ages.items():
            if age < RECORD_SECONDS:
                is_changed |= record.add_crash(incarnation, now - age)
        if is_changed:
            record.changed_at = now
        self._update_suspect(key)
        return key

    def _update_suspect(self, key: PartKey) -> None:
        """List a part as suspect while it has enough crashes."""
        if len(self._records[key].crashed_at) >= self._threshold:
            self._suspects.add(key)
        else:
            self._suspects.discard(key)

    def _is_quarantined(self, key: PartKey, now: float) -> bool:
        """Return whether a part has enough evidence, and recent one."""
        return self._has_evidence(key, since=now - QUARANTINE_SECONDS)

    def _has_evidence(self, key: PartKey, since: float) -> bool:
        """Return whether a part has enough evidence of its own.

        Its last crash must be later than `since`.
        """
        if key not in self._suspects:
            return False
        suspects = self._list_heaviest_suspects()
        return key in suspects and self._stands_out(key, suspects, since)

    def _list_heaviest_suspects(self) -> list[PartKey]:
        """Return the suspected parts with the most crashes."""
        if len(self._suspects) <= MAX_SUSPECTS:
            return list(self._suspects)
        return heapq.nlargest(MAX_SUSPECTS, self._suspects, key=self._weigh)

    def _stands_out(
        self, key: PartKey, suspects: abc.Iterable[PartKey], since: float
    ) -> bool:
        """Return whether no other suspect explains the crashes of a part."""
        if not self._has_enough(key, since):
            return False
        return not any(
            other[0] == key[0]
            and self._is_explained(key, other)
            and self._has_enough(other, since)
            for other in suspects
        )

    def _is_explained(self, key: PartKey, other: PartKey) -> bool:
        """Return whether another part explains all crashes under a part."""
        crashes = self._records[key].crashed_at.keys()
        other_crashes = self._records[other].crashed_at.keys()
        if other_crashes == crashes:
            return key in self._answered and other not in self._answered
        return other_crashes > crashes

    def _has_enough(self, key: PartKey, since: float) -> bool:
        """Return whether targets crashed on enough occasions.

        The last crash must be later than `since`.
        """
        if key not in self._suspects:
            return False
        record = self._records[key]
        if record.get_last_crash() <= since:
            return False
        threshold = self._threshold
        if len(record.crashed_at) >= MANY_CRASHES:
            threshold -= 1
        return count_occasions(record.crashed_at.values()) >= threshold

    def _report_quarantined(
        self, keys: abc.Iterable[PartKey], now: float
    ) -> None:
        """Log those of some parts whose quarantine has just begun."""
        for key in keys:
            if not self._is_quarantined(key, now):
                self._reported.discard(key)
            elif key not in self._reported:
                self._reported.add(key)
                self._sink.emit(
                    events.Event.PART_QUARANTINED,
                    model=key[0],
                    part=key[1],
                    targets=[t for t, _ in self._records[key].crashed_at],
                )

    def _weigh(self, key: PartKey) -> tuple[int, float]:
        """Return the weight of a part's evidence: crashes, then time."""
        record = self._records[key]
        return (len(record.crashed_at), record.changed_at)

    def _prune(self, now: float) -> None:
        """Drop records that are too old, and those beyond the limit."""
        if now - self._pruned_at >= PRUNE_SECONDS:
            self._pruned_at = now
            oldest = now - RECORD_SECONDS
            for key, record in list(self._records.items()):
                last = max(record.get_last_crash(), record.survived_at)
                if last <= oldest:
                    self._forget(key)
        excess = len(self._records) - MAX_PARTS
        if excess > 0:
            for key in sorted(self._records, key=self._weigh)[:excess]:
                self._forget(key)

    def _forget(self, key: PartKey) -> None:
        del self._records[key]
        self._suspects.discard(key)
        self._reported.discard(key)
