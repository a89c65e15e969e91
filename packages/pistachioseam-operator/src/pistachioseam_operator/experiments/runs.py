"""Runs of a scenario with every policy, load and seed."""

from collections import abc

import attrs

from pistachioseam.placement import policies
from pistachioseam_operator.experiments import scenarios
from pistachioseam_operator.experiments import simulation
from pistachioseam_operator.experiments import summaries
from pistachioseam_operator.experiments import workloads

CALIBRATION_SEED = 99
CALIBRATION_RUNS = 3


def compute_capacity(scenario: scenarios.Scenario) -> float:
    """Return the capacity of the engines, in requests per second.

    It follows from the mean prefill time of a request with warm caches, which
    runs of the oracle policy measure. The first run has the load that engines
    with cold caches can serve, each later one the capacity that the previous
    run found.
    """
    scenario = attrs.evolve(scenario, weights=policies.Weights())
    engines = scenario.engines
    capacity = engines.count / workloads.compute_mean_cold_prefill_seconds(
        scenario
    )
    for _ in range(CALIBRATION_RUNS):
        requests = workloads.create_requests(
            scenario, capacity, CALIBRATION_SEED
        )
        run = simulation.Simulation(
            scenario, simulation.ORACLE, requests, CALIBRATION_SEED
        )
        run.run()
        capacity = engines.count / _compute_mean_prefill_seconds(scenario, run)
    return capacity


def _compute_mean_prefill_seconds(
    scenario: scenarios.Scenario, run: simulation.Simulation
) -> float:
    """Return the mean prefill seconds of requests after the warm-up."""
    engines = scenario.engines
    warm = [
        sample
        for sample in run.samples
        if sample.arrived_at >= scenario.warm_seconds
    ]
    missing = sum(sample.pieces - sample.cached_pieces for sample in warm)
    seconds = missing * engines.prefill_seconds_per_piece / len(warm)
    return seconds + engines.batch_seconds_per_request


def list_policies(scenario: scenarios.Scenario) -> tuple[str, ...]:
    """Return the names of the policies to run, the oracle last."""
    names = scenario.compared or tuple(sorted(policies.REGISTRY))
    return (*names, simulation.ORACLE)


def run_policy(
    scenario: scenarios.Scenario, policy: str, load: float, capacity: float
) -> summaries.Summary:
    """Return the statistics of a policy over all seeds, without warm-up.

    `load` is a fraction of `capacity`, which is in requests per second.
    """
    samples: list[simulation.Sample] = []
    for seed in scenario.seeds:
        requests = workloads.create_requests(scenario, load * capacity, seed)
        run = simulation.Simulation(scenario, policy, requests, seed)
        run.run()
        samples += [
            sample
            for sample in run.samples
            if sample.arrived_at >= scenario.warm_seconds
        ]
    seconds = len(scenario.seeds) * (scenario.seconds - scenario.warm_seconds)
    return summaries.summarize(
        policy,
        load,
        samples,
        seconds,
        scenario.engines.prefill_seconds_per_piece,
    )


@attrs.frozen
class PolicyResult:
    """Statistics of one policy in one scenario."""

    scenario: str
    summary: summaries.Summary


def run_scenario(scenario: scenarios.Scenario) -> abc.Iterator[PolicyResult]:
    """Yield the statistics of every policy at every load."""
    capacity = compute_capacity(scenario)
    for load in scenario.loads:
        for policy in list_policies(scenario):
            summary = run_policy(scenario, policy, load, capacity)
            yield PolicyResult(scenario.name, summary)
