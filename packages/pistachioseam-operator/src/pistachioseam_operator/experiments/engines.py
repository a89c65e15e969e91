"""Fake engines in virtual time: serial prefill, priorities and LRU caches."""

import collections
from collections import abc
import heapq

import attrs

from pistachioseam_operator.experiments import scenarios


@attrs.define(kw_only=True, eq=False)
class Job:
    """One request on an engine; times in virtual seconds."""

    number: int
    account: str
    arrived_at: float
    chain: tuple[int, ...]
    pieces: float
    priority: float = 0.0
    attempts: int = 0
    cached: int = 0
    first_token_at: float | None = None


class Engine:
    """One engine: a prefill queue and a least-recently-used cache."""

    def __init__(self, name: str, options: scenarios.Engines) -> None:
        self.name = name
        self.incarnation = 0
        self.is_busy = False
        self.outstanding = 0.0
        self._options = options
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._queue: list[tuple[float, int, Job]] = []
        self._order = 0

    def count_cached(self, chain: abc.Sequence[int]) -> int:
        """Return the number of leading pieces in the cache."""
        count = 0
        for piece in chain:
            if piece not in self._cache:
                break
            count += 1
        return count

    def compute_work(self, job: Job) -> float:
        """Return the prefill seconds of a job as the cache is now."""
        cached = self.count_cached(job.chain)
        missing = max(0.0, job.pieces - cached)
        options = self._options
        seconds = missing * options.prefill_seconds_per_piece
        return seconds + options.batch_seconds_per_request

    def submit(self, job: Job) -> None:
        """Queue a job, the lowest priority value first."""
        self._order += 1
        self.outstanding += self.compute_work(job)
        priority = job.priority if self._options.honours_priorities else 0.0
        heapq.heappush(self._queue, (priority, self._order, job))

    def start_next(self) -> Job | None:
        """Take the next job into prefill and compute what it must."""
        if self.is_busy or not self._queue:
            return None
        _, _, job = heapq.heappop(self._queue)
        self.is_busy = True
        job.cached = self.count_cached(job.chain)
        return job

    def finish(self, job: Job) -> None:
        """End a prefill; its pieces are cached now."""
        self.is_busy = False
        for piece in job.chain:
            self._cache[piece] = None
            self._cache.move_to_end(piece)
        while len(self._cache) > self._options.capacity_pieces:
            self._cache.popitem(last=False)
        if not self._queue:
            self.outstanding = 0.0

    def note_done(self, work: float) -> None:
        """Take finished work off the outstanding sum."""
        self.outstanding = max(0.0, self.outstanding - work)

    def crash(self) -> list[Job]:
        """Come back empty; return the jobs that were lost."""
        lost = [job for _, _, job in self._queue]
        self.incarnation += 1
        self.is_busy = False
        self.outstanding = 0.0
        self._queue.clear()
        self._cache.clear()
        return lost
