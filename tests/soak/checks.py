"""Checks of the results of callers against the runs of servers."""

import collections
from collections import abc

from tests.soak import callers

AT_MOST_ONCE_PREFIXES = ('/once/', '/stream/')
NOT_RUN_STATUSES = (408, 421, 429, 503)


def find_violations(
    results: abc.Iterable[callers.CallResult],
    executed_request_ids: abc.Iterable[str],
) -> list[str]:
    """Return a message for each violation, with the result of the call.

    A call of `AT_MOST_ONCE_PREFIXES` runs at most once. A call that the host
    refuses with a status of `NOT_RUN_STATUSES` does not run. A response with
    status 200 is complete and belongs to its call. A server runs only calls
    that were sent.
    """
    run_counts = collections.Counter(executed_request_ids)
    violations = []
    for result in results:
        run_count = run_counts[result.request_id]
        if result.prefix in AT_MOST_ONCE_PREFIXES and run_count > 1:
            violations.append(f'ran {run_count} times: {result}')
        if (
            result.status in NOT_RUN_STATUSES
            and run_count
            and not result.is_stamped
        ):
            violations.append(f'refused as not run but ran: {result}')
        if result.status == 200 and not _is_whole(result):
            violations.append(f'incomplete or foreign response: {result}')
    sent_request_ids = {result.request_id for result in results}
    violations += [
        f'ran but was not sent: {request_id}'
        for request_id in run_counts
        if request_id not in sent_request_ids
    ]
    return violations


def _is_whole(result: callers.CallResult) -> bool:
    if not result.is_stamped:
        return False
    if result.prefix in ('/stream/', '/resumable/'):
        return result.body == callers.WHOLE_STREAM
    return result.body == result.request_id.encode()
