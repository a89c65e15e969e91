"""Figures of a run, and tables over runs."""

from collections import abc

import attrs

from pistachioseam_operator.experiments import simulation

PERCENTILES = (50, 95, 99)


@attrs.frozen(kw_only=True)
class Summary:
    """Figures of one policy at one load.

    `hit_rate` is cached over reusable pieces, `wasted` the recomputed
    reusable pieces over all pieces; times to first token are in seconds;
    `goodput` is answered prompt pieces a second; `fairness` is the least
    answered share of an account.
    """

    policy: str
    load: float
    hit_rate: float
    wasted: float
    p50: float
    p95: float
    p99: float
    refused: float
    goodput: float
    fairness: float


def summarize(
    policy: str,
    load: float,
    samples: abc.Sequence[simulation.Sample],
    seconds: float,
) -> Summary:
    """Return the figures of the samples of one or more runs."""
    answered = [s for s in samples if s.seconds is not None]
    times = sorted(s.seconds for s in answered if s.seconds is not None)
    reusable = sum(s.reusable for s in answered) or 1
    cached = sum(min(s.cached, s.reusable) for s in answered)
    pieces = sum(s.pieces for s in answered) or 1
    return Summary(
        policy=policy,
        load=load,
        hit_rate=cached / reusable,
        wasted=(reusable - cached) / pieces,
        p50=_get_percentile(times, 50),
        p95=_get_percentile(times, 95),
        p99=_get_percentile(times, 99),
        refused=1 - len(answered) / max(1, len(samples)),
        goodput=pieces / seconds,
        fairness=_compute_fairness(samples),
    )


def _get_percentile(values: abc.Sequence[float], percent: int) -> float:
    if not values:
        return float('nan')
    return values[min(len(values) - 1, len(values) * percent // 100)]


def _compute_fairness(samples: abc.Sequence[simulation.Sample]) -> float:
    asked: dict[str, int] = {}
    answered: dict[str, int] = {}
    for sample in samples:
        asked[sample.account] = asked.get(sample.account, 0) + 1
        if sample.seconds is not None:
            answered[sample.account] = answered.get(sample.account, 0) + 1
    return min(answered.get(a, 0) / n for a, n in asked.items())


def format_header() -> str:
    """Return the heading of a table of summaries."""
    return (
        f'{"policy":20}{"load":>6}{"hits":>7}{"wasted":>8}{"p50":>8}'
        f'{"p95":>8}{"p99":>8}{"refused":>9}{"goodput":>9}{"fair":>6}'
    )


def format_summary(summary: Summary) -> str:
    """Return a summary as a line of the table."""
    return (
        f'{summary.policy:20}{summary.load:6.2f}{summary.hit_rate:7.3f}'
        f'{summary.wasted:8.3f}{summary.p50:8.3f}{summary.p95:8.3f}'
        f'{summary.p99:8.3f}{summary.refused:9.3f}{summary.goodput:9.1f}'
        f'{summary.fairness:6.2f}'
    )
