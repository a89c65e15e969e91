"""All runs of a scenario: policies, loads and seeds."""

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
    """Return requests a second that keep warm engines just busy.

    Oracle runs, the first at the cold capacity and each later one at the
    capacity found before, give the mean work of a warm request.
    """
    scenario = attrs.evolve(scenario, weights=policies.Weights())
    engines = scenario.engines
    capacity = engines.count / workloads.compute_cold_seconds(scenario)
    for _ in range(CALIBRATION_RUNS):
        requests = workloads.create_requests(
            scenario, capacity, CALIBRATION_SEED
        )
        run = simulation.Simulation(
            scenario, simulation.ORACLE, requests, CALIBRATION_SEED
        )
        run.run()
        capacity = engines.count / _compute_mean_work(scenario, run)
    return capacity


def _compute_mean_work(
    scenario: scenarios.Scenario, run: simulation.Simulation
) -> float:
    engines = scenario.engines
    warm = [s for s in run.samples if s.at >= scenario.warm_seconds]
    missing = sum(s.pieces - s.cached for s in warm)
    seconds = missing * engines.prefill_seconds_per_piece / len(warm)
    return seconds + engines.batch_seconds_per_request


def list_policies(scenario: scenarios.Scenario) -> tuple[str, ...]:
    """Return the policies to run, the oracle last."""
    named = scenario.compared or tuple(sorted(policies.REGISTRY))
    return (*named, simulation.ORACLE)


def run_policy(
    scenario: scenarios.Scenario, policy: str, load: float, capacity: float
) -> summaries.Summary:
    """Return the figures of a policy at a load over all seeds."""
    samples: list[simulation.Sample] = []
    for seed in scenario.seeds:
        requests = workloads.create_requests(scenario, load * capacity, seed)
        run = simulation.Simulation(scenario, policy, requests, seed)
        run.run()
        samples += [s for s in run.samples if s.at >= scenario.warm_seconds]
    seconds = len(scenario.seeds) * (scenario.seconds - scenario.warm_seconds)
    return summaries.summarize(
        policy,
        load,
        samples,
        seconds,
        scenario.engines.prefill_seconds_per_piece,
    )


@attrs.frozen
class Row:
    """Figures of one policy in one scenario."""

    scenario: str
    summary: summaries.Summary


def run_scenario(scenario: scenarios.Scenario) -> abc.Iterator[Row]:
    """Yield the figures of every policy at every load."""
    capacity = compute_capacity(scenario)
    for load in scenario.loads:
        for policy in list_policies(scenario):
            summary = run_policy(scenario, policy, load, capacity)
            yield Row(scenario.name, summary)
