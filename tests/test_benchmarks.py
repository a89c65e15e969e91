"""Each benchmark runs, at its smallest size."""

from collections import abc
import contextlib
import io
import types

import fixtures

from benchmarks import control
from benchmarks import crashes
from benchmarks import forwarding
from benchmarks import latency
from benchmarks import parsers
from benchmarks import slopes
from tests import support


def test_forwarding_benchmark_prints_each_figure(case: support.Case) -> None:
    """It starts a host where one has run before."""
    use_sizes(case, forwarding, ROUNDS=1, CALLS=2, STREAMS=1, IDLE_SECONDS=0.2)
    lines = read_output(forwarding.run).splitlines()
    case.assertEqual(
        list(forwarding.FIGURES), [line.split()[0] for line in lines]
    )


def test_latency_benchmark_prints_both_paths(case: support.Case) -> None:
    """Direct calls and calls through the host are measured."""
    use_sizes(
        case,
        latency,
        CALLS=2,
        TOKENS_PER_STREAM=2,
        STREAMS=1,
        IDLE_SECONDS=0.2,
    )
    output = read_output(latency.main)
    case.assertIn('direct: p50', output)
    case.assertIn('routed: p50', output)


def test_control_benchmark_measures_idle_hosts(case: support.Case) -> None:
    """One line for each number of hosts."""
    use_sizes(
        case,
        control,
        HOST_COUNTS=(1,),
        SETTLE_SECONDS=0.2,
        MEASURE_SECONDS=0.2,
    )
    case.assertEqual(1, len(read_output(control.main).splitlines()))


def test_crashes_benchmark_counts_streams(case: support.Case) -> None:
    """Each stream has an outcome."""
    use_sizes(
        case,
        crashes,
        CALLERS=1,
        STREAMS_PER_CALLER=2,
        TOKENS_PER_STREAM=2,
    )
    case.assertIn(': 2', read_output(crashes.main))


def test_slopes_benchmark_measures_all(case: support.Case) -> None:
    """It needs no process."""
    use_sizes(
        case,
        slopes,
        TARGET_COUNTS=(2,),
        DECISIONS=2,
        PREFIXES=20,
        MESSAGES=2,
    )
    case.assertTrue(read_output(slopes.main))


def test_parsers_benchmark_measures_both(case: support.Case) -> None:
    """It needs no process."""
    use_sizes(case, parsers, ROUNDS=1, RESPONSES=2)
    case.assertEqual(2, len(read_output(parsers.main).splitlines()))


def use_sizes(
    case: support.Case, module: types.ModuleType, **sizes: object
) -> None:
    """Set constants of a benchmark while a test runs."""
    for constant, value in sizes.items():
        case.useFixture(
            fixtures.MonkeyPatch(f'{module.__name__}.{constant}', value)
        )


def read_output(run: abc.Callable[[], object]) -> str:
    """Return what a benchmark prints."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        run()
    return output.getvalue()


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
