"""Simulated engines: serial prefill, priorities and LRU caches."""

import collections
from collections import abc
import heapq

import attrs

from pistachioseam_operator.experiments import scenarios


@attrs.define(kw_only=True, eq=False)
class Job:
    """One request on an engine; times in virtual seconds.

    `chain` holds the prefix hashes of the whole pieces, `pieces` the prompt's
    size in pieces (fractional).
    """

    number: int
    account: str
    arrived_at: float
    chain: tuple[int, ...]
    pieces: float
    priority: float = 0.0
    attempts: int = 0
    cached_pieces: int = 0
    first_token_at: float | None = None


class Engine:
    """One engine: a prefill queue and a least-recently-used cache.

    `outstanding_seconds` estimates the service time of all unfinished jobs:
    each job adds its time as computed at submission and, when it finishes,
    subtracts that computed at its start.
    """

    def __init__(self, name: str, options: scenarios.Engines) -> None:
        self.name = name
        self.incarnation = 0
        self.is_busy = False
        self.outstanding_seconds = 0.0
        self._options = options
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._queue: list[tuple[float, int, Job]] = []
        self._submitted_count = 0

    def count_cached_pieces(self, chain: abc.Sequence[int]) -> int:
        """Return the number of leading pieces that are cached."""
        count = 0
        for piece in chain:
            if piece not in self._cache:
                break
            count += 1
        return count

    def compute_service_seconds(self, job: Job) -> float:
        """Return a job's prefill and batch seconds with the current cache."""
        cached_pieces = self.count_cached_pieces(job.chain)
        missing_pieces = max(0.0, job.pieces - cached_pieces)
        options = self._options
        prefill_seconds = missing_pieces * options.prefill_seconds_per_piece
        return prefill_seconds + options.batch_seconds_per_request

    def submit(self, job: Job) -> None:
        """Queue a job.

        The lowest priority value runs first, ties in order of submission.
        """
        self._submitted_count += 1
        self.outstanding_seconds += self.compute_service_seconds(job)
        priority = job.priority if self._options.honours_priorities else 0.0
        heapq.heappush(self._queue, (priority, self._submitted_count, job))

    def start_next(self) -> Job | None:
        """Start the next job; return None if busy or without queued jobs."""
        if self.is_busy or not self._queue:
            return None
        _, _, job = heapq.heappop(self._queue)
        self.is_busy = True
        job.cached_pieces = self.count_cached_pieces(job.chain)
        return job

    def finish(self, job: Job) -> None:
        """End a prefill and cache the job's pieces.

        The least recently used pieces are evicted.
        """
        self.is_busy = False
        for piece in job.chain:
            self._cache[piece] = None
            self._cache.move_to_end(piece)
        while len(self._cache) > self._options.capacity_pieces:
            self._cache.popitem(last=False)
        if not self._queue:
            self.outstanding_seconds = 0.0

    def subtract_outstanding(self, seconds: float) -> None:
        """Subtract the service seconds of a finished job."""
        self.outstanding_seconds = max(0.0, self.outstanding_seconds - seconds)

    def crash(self) -> list[Job]:
        """Restart with empty cache and queue; return the queued jobs.

        The running job is lost too; the caller recognises it by the old
        incarnation when its prefill would have ended.
        """
        queued_jobs = [job for _, _, job in self._queue]
        self.incarnation += 1
        self.is_busy = False
        self.outstanding_seconds = 0.0
        self._queue.clear()
        self._cache.clear()
        return queued_jobs
