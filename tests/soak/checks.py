"""Promises checked on what callers were told and what servers ran."""

import collections
from collections import abc

from tests.soak import callers

RUN_ONCE = ('/once/', '/stream/')
NOT_RUN = (408, 421, 429, 503)


def find_violations(
    told: abc.Iterable[callers.Told], runs: abc.Iterable[str]
) -> list[str]:
    """Return every broken promise with its request."""
    counts = collections.Counter(runs)
    found = []
    for answer in told:
        ran = counts[answer.request_id]
        if answer.prefix in RUN_ONCE and ran > 1:
            found.append(f'ran {ran} times: {answer}')
        if answer.status in NOT_RUN and ran and not answer.is_stamped:
            found.append(f'said not to have run: {answer}')
        if answer.status == 200 and not _is_whole(answer):
            found.append(f'not the whole own answer: {answer}')
    known = {answer.request_id for answer in told}
    found += [f'nobody asked for {run}' for run in counts if run not in known]
    return found


def _is_whole(answer: callers.Told) -> bool:
    if not answer.is_stamped:
        return False
    if answer.prefix in ('/stream/', '/resumable/'):
        return answer.body == callers.STREAM
    return answer.body == answer.request_id.encode()
