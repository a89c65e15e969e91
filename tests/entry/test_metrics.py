"""Metrics match their reference page; store calls are measured."""

import asyncio
import pathlib
import re
import typing

from returns import result

from pistachioseam.forwarding import ports
from pistachioseam.forwarding import store_versions
from pistachioseam_entry import call_admin
from pistachioseam_entry import measured_store
from pistachioseam_entry import metrics
from pistachioseam_entry import runtime
from tests import call_fakes
from tests import clocks
from tests import support

PAGE = pathlib.Path('docs/reference/metrics.md')


def list_documented() -> set[str]:
    """Return the metrics in the tables of the page."""
    return set(
        re.findall(r'^\| `(pistachioseam_\w+)` \|', PAGE.read_text(), re.M)
    )


def test_page_lists_all_metrics(case: support.Case) -> None:
    """The page lists every metric, and only metrics that are served."""
    served = metrics.Metrics().render().decode()
    served_names = set(re.findall(r'^# HELP (\w+) ', served, re.M))
    case.assertEqual(served_names, list_documented())


def test_page_lists_all_state_names(case: support.Case) -> None:
    """The page lists the `pistachioseam_state` names of forwarding hosts."""
    lines = re.findall(r'^\| (`[a-z_`, ]+) \|', PAGE.read_text(), re.M)
    documented = set(re.findall(r'`(\w+)`', ' '.join(lines)))
    case.assertEqual(
        set(call_admin.STATE_NAMES),
        {name for name in documented if not name.startswith('pistachioseam')},
    )


class ScriptedStore:
    """Store whose reads of the lease fail or succeed in a fixed order."""

    def __init__(self) -> None:
        self.failures = [
            None,
            ports.StoreFailure(detail='busy'),
            ports.StoreFailure(detail='cut', is_outcome_unknown=True),
            ports.StoreFailure(detail='newer', is_conflict=True),
        ]

    async def read_lease(
        self, _: str
    ) -> result.Result[ports.LeaseRow, ports.StoreFailure]:
        """Return the next result after 0.25 s."""
        await asyncio.sleep(0.25)
        failure = self.failures.pop(0)
        if failure is not None:
            return result.Failure(failure)
        return result.Success(
            ports.LeaseRow(holder='a', version=store_versions.FIRST)
        )


def test_store_calls_are_measured(case: support.Case) -> None:
    """Outcomes of calls have their own series with the measured duration."""
    process_metrics = metrics.Metrics()

    async def make_calls() -> None:
        asyncio_runtime = runtime.AsyncioRuntime(call_fakes.Sink())
        store = measured_store.MeasuredStore(
            typing.cast(ports.Platform, ScriptedStore()),
            process_metrics,
            asyncio_runtime,
        )
        for _ in range(4):
            await store.read_lease('duty')

    clocks.run(make_calls())
    served = process_metrics.render().decode()
    for outcome in ('ok', 'failed', 'unknown', 'conflict'):
        labels = f'{{call="read_lease",outcome="{outcome}"}}'
        case.assertIn(f'store_call_seconds_count{labels} 1', served)
    case.assertIn('le="0.1",outcome="ok"} 0', served)
    case.assertIn('le="0.3",outcome="ok"} 1', served)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
