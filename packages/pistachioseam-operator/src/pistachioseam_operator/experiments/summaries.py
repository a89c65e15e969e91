"""Statistics of runs, and their table."""

from collections import abc

import attrs

from pistachioseam_operator.experiments import simulation

SHORT_PREFILL_SECONDS = 1.5


@attrs.frozen(kw_only=True)
class Summary:
    """Statistics of one policy at one load.

    `hit_rate` is the cached fraction of the reusable pieces, `wasted` the
    recomputed reusable pieces as a fraction of all pieces. `p50` to `p99` are
    times to first token in seconds. `refused` is the fraction of requests
    without a first token: those refused and those that failed after all
    attempts. `goodput` is the served prompt pieces per second. `fairness` is
    the minimum over accounts of served work divided by fair share. `short_p95`
    is the p95 of requests whose prefill without any cache takes less than
    `SHORT_PREFILL_SECONDS`.
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
    short_p95: float


def summarize(
    policy: str,
    load: float,
    samples: abc.Sequence[simulation.Sample],
    seconds: float,
    prefill_seconds_per_piece: float,
) -> Summary:
    """Return the statistics of samples that cover `seconds` in total."""
    served = [s for s in samples if s.first_token_seconds is not None]
    times = sorted(
        s.first_token_seconds
        for s in served
        if s.first_token_seconds is not None
    )
    short_pieces = SHORT_PREFILL_SECONDS / prefill_seconds_per_piece
    short = sorted(
        s.first_token_seconds
        for s in served
        if s.first_token_seconds is not None and s.pieces < short_pieces
    )
    reusable = sum(s.reusable_pieces for s in served) or 1
    cached = sum(min(s.cached_pieces, s.reusable_pieces) for s in served)
    pieces = sum(s.pieces for s in served) or 1
    return Summary(
        policy=policy,
        load=load,
        hit_rate=cached / reusable,
        wasted=(reusable - cached) / pieces,
        p50=_get_percentile(times, 50),
        p95=_get_percentile(times, 95),
        p99=_get_percentile(times, 99),
        refused=1 - len(served) / max(1, len(samples)),
        goodput=pieces / seconds,
        fairness=_compute_min_fairness(samples),
        short_p95=_get_percentile(short, 95),
    )


def _get_percentile(values: abc.Sequence[float], percent: int) -> float:
    """Return a percentile of sorted values, or NaN without values."""
    if not values:
        return float('nan')
    return values[min(len(values) - 1, len(values) * percent // 100)]


def _compute_min_fairness(samples: abc.Sequence[simulation.Sample]) -> float:
    """Return the minimum of served work divided by fair share.

    The fair share of an account is its own demand or an equal share of all
    served work, whichever is less.
    """
    demanded: dict[str, float] = {}
    served: dict[str, float] = {}
    for sample in samples:
        account = sample.account
        demanded[account] = demanded.get(account, 0.0) + sample.pieces
        if sample.first_token_seconds is not None:
            served[account] = served.get(account, 0.0) + sample.pieces
    equal_share = sum(served.values()) / len(demanded)
    return min(
        served.get(name, 0.0) / min(demand, equal_share)
        for name, demand in demanded.items()
    )


def format_header() -> str:
    """Return the header line of the table of summaries."""
    return (
        f'{"policy":20}{"load":>6}{"hits":>7}{"wasted":>8}{"p50":>8}'
        f'{"p95":>8}{"p99":>8}{"refused":>9}{"goodput":>9}{"fair":>6}'
        f'{"short95":>9}'
    )


def format_summary(summary: Summary) -> str:
    """Return a summary as a line of the table."""
    return (
        f'{summary.policy:20}{summary.load:6.2f}{summary.hit_rate:7.3f}'
        f'{summary.wasted:8.3f}{summary.p50:8.3f}{summary.p95:8.3f}'
        f'{summary.p99:8.3f}{summary.refused:9.3f}{summary.goodput:9.1f}'
        f'{summary.fairness:6.2f}{summary.short_p95:9.3f}'
    )
