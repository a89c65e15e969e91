"""Discrete-event simulation of one policy on simulated engines."""

from collections import abc
import heapq
import random
import typing

import attrs

from pistachioseam import limits
from pistachioseam.placement import placer
from pistachioseam.placement import policies
from pistachioseam_operator.experiments import engines
from pistachioseam_operator.experiments import scenarios
from pistachioseam_operator.experiments import workloads

ORACLE = 'oracle'
MAX_ATTEMPTS = 3
AGING_FACTOR = 10.0
"""Seconds of waiting that offset one second of work.

Same value as `pistachioseam.filters.send.AGING_FACTOR`, which the router uses
for its priorities.
"""


class SeededRandom:
    """Random source of a run; equal seeds give equal runs."""

    def __init__(self, seed: str) -> None:
        self._random = random.Random(seed)

    def random(self) -> float:
        """Return a float in [0, 1)."""
        return self._random.random()

    def token(self) -> str:
        """Return 64 random bits in decimal."""
        return str(self._random.getrandbits(64))


@attrs.frozen(kw_only=True)
class Sample:
    """Result of one request; times in virtual seconds, sizes in pieces.

    `first_token_seconds` is None for a request that was refused or failed.
    `reusable_pieces` counts the leading pieces that a request which ended
    earlier, and was not refused, had too.
    """

    account: str
    arrived_at: float
    first_token_seconds: float | None
    pieces: float
    cached_pieces: int
    reusable_pieces: int
    is_refused: bool = False


class Simulation:
    """Hosts with the real placer and account limits, and simulated engines.

    `_event_queue` holds time, sequence number, callback and argument of each
    event. `_in_flight` maps the number of a job on an engine to its host and
    the placement decision.
    """

    def __init__(
        self,
        scenario: scenarios.Scenario,
        policy: str,
        requests: abc.Iterable[workloads.Request],
        seed: int,
    ) -> None:
        self.samples: list[Sample] = []
        self.lost_jobs = 0
        self._scenario = scenario
        self._is_oracle = policy == ORACLE
        self._random = SeededRandom(f'{seed}:{policy}')
        self._clock = 0.0
        self._event_queue: list[tuple[float, int, typing.Any, typing.Any]] = []
        self._scheduled_count = 0
        self._ended_pieces: set[int] = set()
        self._in_flight: dict[int, typing.Any] = {}
        self._engines = {
            f'engine{i}': engines.Engine(f'engine{i}', scenario.engines)
            for i in range(scenario.engines.count)
        }
        self._eligible_targets = [
            placer.EligibleTarget(name=name) for name in self._engines
        ]
        settings = placer.Settings(
            policy='cost' if self._is_oracle else policy,
            prefill_seconds_per_piece=(
                scenario.engines.prefill_seconds_per_piece
            ),
            weights=scenario.weights,
        )
        self._placers = [
            placer.Placer(settings, self._random)
            for _ in range(scenario.hosts)
        ]
        self._account_limits = [
            limits.AccountLimits(scenario.limits)
            for _ in range(scenario.hosts)
        ]
        for request in requests:
            self._schedule(request.arrived_at, self._handle_arrival, request)
        crash_at = scenario.faults.crash_at * scenario.seconds
        self._schedule(crash_at, self._crash, 'engine0')
        self._schedule(0.0, self._measure_loads, None)
        self._schedule(0.0, self._exchange_digests, None)

    def _schedule(
        self, at: float, callback: typing.Any, argument: object
    ) -> None:
        """Call `callback(argument)` at a virtual time."""
        self._scheduled_count += 1
        heapq.heappush(
            self._event_queue, (at, self._scheduled_count, callback, argument)
        )

    def run(self) -> None:
        """Run all events, the last prefills included."""
        while self._event_queue:
            at, _, callback, argument = heapq.heappop(self._event_queue)
            self._clock = at
            callback(argument)

    def _handle_arrival(self, request: workloads.Request) -> None:
        job = engines.Job(
            number=request.number,
            account=request.account,
            arrived_at=request.arrived_at,
            chain=request.chain,
            pieces=request.pieces,
        )
        self._admit_and_place(job, request.host)

    def _admit_and_place(self, job: engines.Job, host: int) -> None:
        """Send a job to an engine.

        A new job whose expected wait is too long is refused.
        """
        now = self._clock
        decision = self._decide(job, host)
        account_limits = self._account_limits[host]
        max_wait = account_limits.compute_max_wait(job.account, now)
        if job.attempts == 0 and decision.expected_wait > max_wait:
            self._record_sample(job, is_refused=True)
            return
        account_limits.charge(job.account, decision.work, now)
        job.attempts += 1
        waited_seconds = now - job.arrived_at
        job.priority = (
            job.arrived_at + decision.work * AGING_FACTOR - waited_seconds
        )
        self._placers[host].record_sent(decision, now)
        engine = self._engines[decision.target]
        engine.submit(job)
        self._start_prefill(engine, job, host, decision)

    def _decide(self, job: engines.Job, host: int) -> placer.Decision:
        """Return the decision of the host's placer or of the oracle."""
        query = placer.Query(chain=job.chain, pieces=job.pieces)
        if not self._is_oracle:
            decision = self._placers[host].place(
                query, self._eligible_targets, self._clock
            )
            assert decision is not None
            return decision
        return self._decide_as_oracle(query, job)

    def _decide_as_oracle(
        self, query: placer.Query, job: engines.Job
    ) -> placer.Decision:
        """Decide by cost from the true caches and loads of all engines."""
        candidates = [
            policies.Candidate(
                name=engine.name,
                rank=0,
                wait=engine.outstanding_seconds,
                cached=engine.count_cached_pieces(job.chain),
                missing=job.pieces - engine.count_cached_pieces(job.chain),
                prefill=self._scenario.engines.prefill_seconds_per_piece,
                latency=0.0,
            )
            for engine in self._engines.values()
        ]
        chosen = policies.choose_by_cost(
            candidates, self._scenario.weights, self._random
        )
        return placer.Decision(
            target=chosen.name,
            query=query,
            work=chosen.missing * chosen.prefill,
            expected_wait=chosen.wait,
            expected_cached=chosen.cached,
            candidates=(),
        )

    def _start_prefill(
        self,
        engine: engines.Engine,
        job: engines.Job | None,
        host: int = 0,
        decision: placer.Decision | None = None,
    ) -> None:
        """Record the host and decision of a new job; start the next job."""
        if job is not None:
            self._in_flight[job.number] = (host, decision)
        next_job = engine.start_next()
        if next_job is None:
            return
        service_seconds = engine.compute_service_seconds(next_job)
        argument = (engine, engine.incarnation, next_job, service_seconds)
        self._schedule(
            self._clock + service_seconds, self._finish_prefill, argument
        )

    def _finish_prefill(self, argument: typing.Any) -> None:
        """End a prefill; retry the job if the engine crashed meanwhile."""
        engine, incarnation, job, service_seconds = argument
        host, decision = self._in_flight.pop(job.number)
        if engine.incarnation != incarnation:
            self._retry(job, host, decision)
            return
        engine.subtract_outstanding(service_seconds)
        engine.finish(job)
        job.first_token_at = self._clock
        host_placer = self._placers[host]
        host_placer.record_incarnation(engine.name, str(incarnation))
        host_placer.record_prefilled(decision, job.cached_pieces, self._clock)
        self._record_sample(job)
        self._start_prefill(engine, None)

    def _retry(
        self, job: engines.Job, host: int, decision: placer.Decision
    ) -> None:
        """Place the job of a crashed engine again.

        The engine is removed from the host's prefix index first. After
        MAX_ATTEMPTS the job is recorded as failed.
        """
        self.lost_jobs += 1
        host_placer = self._placers[host]
        host_placer.record_failure(decision, self._clock)
        host_placer.prefix_index.drop_target(decision.target)
        if job.attempts < MAX_ATTEMPTS:
            self._admit_and_place(job, host)
        else:
            self._record_sample(job)

    def _crash(self, name: str) -> None:
        """Crash an engine; retry its queued jobs at once."""
        engine = self._engines[name]
        for job in engine.crash():
            host, decision = self._in_flight.pop(job.number)
            self._retry(job, host, decision)

    def _record_sample(
        self, job: engines.Job, *, is_refused: bool = False
    ) -> None:
        reusable_pieces = 0
        for piece in job.chain:
            if piece not in self._ended_pieces:
                break
            reusable_pieces += 1
        if not is_refused:
            self._ended_pieces.update(job.chain)
        first_token_seconds = None
        if job.first_token_at is not None:
            first_token_seconds = job.first_token_at - job.arrived_at
        sample = Sample(
            account=job.account,
            arrived_at=job.arrived_at,
            first_token_seconds=first_token_seconds,
            pieces=job.pieces,
            cached_pieces=job.cached_pieces,
            reusable_pieces=reusable_pieces,
            is_refused=is_refused,
        )
        self.samples.append(sample)

    def _measure_loads(self, _: object) -> None:
        """Measure the engines' loads; hosts receive them after the lag."""
        options = self._scenario.engines
        measured = [
            (e.name, e.outstanding_seconds) for e in self._engines.values()
        ]
        argument = (self._clock, measured)
        lag = options.load_lag_seconds
        self._schedule(self._clock + lag, self._apply_load_reports, argument)
        if self._clock < self._scenario.seconds:
            at = self._clock + options.load_interval_seconds
            self._schedule(at, self._measure_loads, None)

    def _apply_load_reports(self, argument: typing.Any) -> None:
        """Pass one measurement of all engines to every host's placer."""
        measured_at, measured = argument
        for host_placer in self._placers:
            for name, outstanding_seconds in measured:
                host_placer.loads.record_engine_report(
                    name, outstanding_seconds, measured_at
                )

    def _exchange_digests(self, _: object) -> None:
        """Send each host's digest to all others; some messages are lost."""
        digests = [host_placer.take_digest() for host_placer in self._placers]
        for sender, digest in enumerate(digests):
            for receiver, host_placer in enumerate(self._placers):
                is_lost = (
                    self._random.random() < self._scenario.faults.lost_digests
                )
                if receiver == sender or is_lost:
                    continue
                host_placer.merge_digest(f'host{sender}', digest, self._clock)
        if self._clock < self._scenario.seconds:
            at = self._clock + self._scenario.digest_seconds
            self._schedule(at, self._exchange_digests, None)
