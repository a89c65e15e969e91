"""One run of a policy over the fake engines in virtual time."""

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


class SeededRandom:
    """Randomness of a run."""

    def __init__(self, seed: str) -> None:
        self._random = random.Random(seed)

    def random(self) -> float:
        """Return a float in [0, 1)."""
        return self._random.random()

    def token(self) -> str:
        """Return a new token."""
        return str(self._random.getrandbits(64))


@attrs.frozen(kw_only=True)
class Sample:
    """What became of one request; `seconds` is its time to first token."""

    account: str
    at: float
    seconds: float | None
    pieces: float
    cached: int
    reusable: int
    is_refused: bool = False


class Simulation:
    """Hosts with the real placer and limits before the fake engines."""

    def __init__(
        self,
        scenario: scenarios.Scenario,
        policy: str,
        requests: abc.Iterable[workloads.Request],
        seed: int,
    ) -> None:
        self.samples: list[Sample] = []
        self.crashed_jobs = 0
        self._scenario = scenario
        self._is_oracle = policy == ORACLE
        self._random = SeededRandom(f'{seed}:{policy}')
        self._clock = 0.0
        self._events: list[tuple[float, int, typing.Any, typing.Any]] = []
        self._order = 0
        self._seen: set[int] = set()
        self._owners: dict[int, typing.Any] = {}
        self._engines = {
            f'engine{i}': engines.Engine(f'engine{i}', scenario.engines)
            for i in range(scenario.engines.count)
        }
        self._options = [
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
        self._limits = [
            limits.AccountLimits(scenario.limits)
            for _ in range(scenario.hosts)
        ]
        for request in requests:
            self._schedule(request.at, self._arrive, request)
        crash_at = scenario.faults.crash_at * scenario.seconds
        self._schedule(crash_at, self._crash, 'engine0')
        self._schedule(0.0, self._report_loads, None)
        self._schedule(0.0, self._exchange_digests, None)

    def _schedule(self, at: float, work: typing.Any, subject: object) -> None:
        self._order += 1
        heapq.heappush(self._events, (at, self._order, work, subject))

    def run(self) -> None:
        """Run all events until the end of the scenario."""
        while self._events:
            at, _, work, subject = heapq.heappop(self._events)
            self._clock = at
            work(subject)

    def _arrive(self, request: workloads.Request) -> None:
        job = engines.Job(
            number=request.number,
            account=request.account,
            arrived_at=request.at,
            chain=request.chain,
            pieces=request.pieces,
        )
        self._place(job, request.host)

    def _place(self, job: engines.Job, host: int) -> None:
        now = self._clock
        decision = self._decide(job, host)
        accounts = self._limits[host]
        max_wait = accounts.compute_max_wait(job.account, now)
        if job.attempts == 0 and decision.expected_wait > max_wait:
            self._record(job, is_refused=True)
            return
        accounts.charge(job.account, decision.work, now)
        job.attempts += 1
        waited = now - job.arrived_at
        job.priority = job.arrived_at + decision.work * AGING_FACTOR - waited
        self._placers[host].record_sent(decision, now)
        engine = self._engines[decision.target]
        engine.submit(job)
        self._start(engine, job, host, decision)

    def _decide(self, job: engines.Job, host: int) -> placer.Decision:
        query = placer.Query(chain=job.chain, pieces=job.pieces)
        if not self._is_oracle:
            decision = self._placers[host].place(
                query, self._options, self._clock
            )
            assert decision is not None
            return decision
        return self._decide_with_knowledge(query, job)

    def _decide_with_knowledge(
        self, query: placer.Query, job: engines.Job
    ) -> placer.Decision:
        candidates = [
            policies.Candidate(
                name=engine.name,
                rank=0,
                wait=engine.outstanding,
                cached=engine.count_cached(job.chain),
                missing=job.pieces - engine.count_cached(job.chain),
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

    def _start(
        self,
        engine: engines.Engine,
        job: engines.Job | None,
        host: int = 0,
        decision: placer.Decision | None = None,
    ) -> None:
        if job is not None:
            self._owners[job.number] = (host, decision)
        started = engine.start_next()
        if started is None:
            return
        work = engine.compute_work(started)
        subject = (engine, engine.incarnation, started, work)
        self._schedule(self._clock + work, self._finish, subject)

    def _finish(self, subject: typing.Any) -> None:
        engine, incarnation, job, work = subject
        host, decision = self._owners.pop(job.number)
        if engine.incarnation != incarnation:
            self._retry(job, host, decision)
            return
        engine.note_done(work)
        engine.finish(job)
        job.first_token_at = self._clock
        own = self._placers[host]
        own.record_incarnation(engine.name, str(incarnation))
        own.record_prefilled(decision, job.cached, self._clock)
        self._record(job)
        self._start(engine, None)

    def _retry(
        self, job: engines.Job, host: int, decision: placer.Decision
    ) -> None:
        self.crashed_jobs += 1
        own = self._placers[host]
        own.record_failure(decision, self._clock)
        own.prefix_index.drop_target(decision.target)
        if job.attempts < MAX_ATTEMPTS:
            self._place(job, host)
        else:
            self._record(job)

    def _crash(self, name: str) -> None:
        engine = self._engines[name]
        for job in engine.crash():
            host, decision = self._owners.pop(job.number)
            self._retry(job, host, decision)

    def _record(self, job: engines.Job, *, is_refused: bool = False) -> None:
        reusable = 0
        for piece in job.chain:
            if piece not in self._seen:
                break
            reusable += 1
        if not is_refused:
            self._seen.update(job.chain)
        seconds = None
        if job.first_token_at is not None:
            seconds = job.first_token_at - job.arrived_at
        sample = Sample(
            account=job.account,
            at=job.arrived_at,
            seconds=seconds,
            pieces=job.pieces,
            cached=job.cached,
            reusable=reusable,
            is_refused=is_refused,
        )
        self.samples.append(sample)

    def _report_loads(self, _: object) -> None:
        """Measure loads now; hosts hear of them after the lag."""
        options = self._scenario.engines
        measured = [(e.name, e.outstanding) for e in self._engines.values()]
        subject = (self._clock, measured)
        lag = options.load_lag_seconds
        self._schedule(self._clock + lag, self._hear_loads, subject)
        if self._clock < self._scenario.seconds:
            at = self._clock + options.load_interval_seconds
            self._schedule(at, self._report_loads, None)

    def _hear_loads(self, subject: typing.Any) -> None:
        measured_at, measured = subject
        for own in self._placers:
            for name, outstanding in measured:
                own.loads.record_engine_report(name, outstanding, measured_at)

    def _exchange_digests(self, _: object) -> None:
        """Let hosts hear of each other's sends; some digests get lost."""
        digests = [own.take_digest() for own in self._placers]
        for sender, digest in enumerate(digests):
            for receiver, own in enumerate(self._placers):
                lost = (
                    self._random.random() < self._scenario.faults.lost_digests
                )
                if receiver == sender or lost:
                    continue
                own.merge_digest(f'host{sender}', digest, self._clock)
        if self._clock < self._scenario.seconds:
            at = self._clock + self._scenario.digest_seconds
            self._schedule(at, self._exchange_digests, None)
