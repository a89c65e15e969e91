"""Command that runs rehearsals and writes their tables."""

import pathlib

import attrs
import fire
import fixtures
import yaml

from tests import builds
from tests.rehearsals import rehearsal


def run(
    seeds: int = 1,
    report: str = '',
    faults: tuple[str, ...] = (),
    **plan: float | str,
) -> None:
    """Run rehearsals on consecutive seeds and print a line for each.

    `faults` are separated by commas, the other options those of
    `rehearsal.Plan`. The file `report` gets the violations with the log lines
    of all processes that name their calls.
    """
    names = (faults,) if isinstance(faults, str) else tuple(faults)
    first = rehearsal.Plan(faults=names, **plan)  # type: ignore[arg-type]
    outcomes = []
    for number in range(seeds):
        outcome = _run_one(attrs.evolve(first, seed=first.seed + number))
        counts = outcome.count_by_rule()
        build = outcome.plan.build or 'checkout'
        print(
            f'seed {outcome.plan.seed} build {build}: {outcome.calls} calls,'
            f' open {outcome.open_fraction:.3f}, {outcome.resets} resets,'
            f' {outcome.retries} retries,',
            ', '.join(f'{rule} {count}' for rule, count in counts.items()),
            flush=True,
        )
        outcomes.append({**attrs.asdict(outcome), 'rules': counts})
        if report:
            content = yaml.safe_dump(_plain(outcomes), sort_keys=False)
            pathlib.Path(report).write_text(content)


def _run_one(plan: rehearsal.Plan) -> rehearsal.Outcome:
    with fixtures.TempDir() as folder:
        path = pathlib.Path(folder.path)
        if not plan.build:
            return rehearsal.rehearse(plan, path)
        with builds.EarlierBuild(plan.build) as build:
            return rehearsal.rehearse(plan, path, build.python_path)


def _plain(value: object) -> object:
    """Return a value with lists in place of tuples, for YAML."""
    if isinstance(value, dict):
        return {key: _plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_plain(item) for item in value]
    return value


if __name__ == '__main__':
    fire.Fire(run)
