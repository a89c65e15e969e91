"""Isolation of callers from the cancellations with which grpclib wakes tasks.

When a stream or its connection ends, grpclib cancels the tasks that wait for
it, and turns the cancellation into its own exception. The cancellation stays
counted in the task. A later `asyncio.timeout` of the caller would then raise
CancelledError, and a cancellation of the caller itself could be swallowed.
"""

import asyncio
from collections import abc
import typing

Result = typing.TypeVar('Result')


async def run_isolated(
    work: abc.Coroutine[typing.Any, typing.Any, Result],
) -> Result:
    """Return the result of some work with grpclib, done in its own task.

    The work is cancelled if the caller is.
    """
    task = asyncio.ensure_future(work)
    task.add_done_callback(_retrieve_exception)
    try:
        await asyncio.wait((task,))
    finally:
        task.cancel()
    return task.result()


def _retrieve_exception(task: asyncio.Future[typing.Any]) -> None:
    """Mark an exception as seen; a cancelled caller does not ask for it."""
    if not task.cancelled():
        task.exception()
