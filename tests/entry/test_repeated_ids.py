"""A request that is sent again under its id meets no copy of its rejection."""

import asyncio
import collections
from collections import abc
import contextlib
import io
import random
import typing

import attrs

from pistachioseam_entry import reactors
from pistachioseam_standins import adversary
from tests import call_fakes
from tests.entry import test_adversary
from tests import support

REPEATS = 12
ROUNDS = 60
REJECTED_SHARE = 0.45
REJECTION = adversary.Answer(status=503, is_executed=False, copy='next')
"""Its second copy comes before the next response on the connection."""
REFUSAL = adversary.Answer(status=503, is_executed=False)
"""No second copy of it comes."""
MISMATCH = attrs.evolve(REJECTION, status=421)


def run(
    work: abc.Callable[
        [test_adversary.AdversarialTargets],
        abc.Coroutine[typing.Any, typing.Any, None],
    ],
) -> test_adversary.AdversarialTargets:
    """Run a test on the reactor's loop; return its closed targets."""

    async def work_and_close() -> test_adversary.AdversarialTargets:
        targets = test_adversary.AdversarialTargets()
        try:
            await work(targets)
        finally:
            await targets.close()
        return targets

    loop = reactors.get_reactor()._asyncioEventloop
    # The servers print what they run.
    with contextlib.redirect_stdout(io.StringIO()):
        ended: test_adversary.AdversarialTargets = loop.run_until_complete(
            asyncio.wait_for(
                work_and_close(), test_adversary.TEST_TIMEOUT_SECONDS
            )
        )
    return ended


def check_promises(
    case: support.Case, targets: test_adversary.AdversarialTargets
) -> None:
    """Check that no call ran twice, or ran although it was refused."""
    runs = targets.count_runs()
    for call in targets.calls:
        found = test_adversary.find_violation(
            targets, call, runs[call.request_id]
        )
        case.assertEqual('', found, f'{call.request_id} of {call.uri!r}')


def test_copy_of_a_rejection_decides_about_the_same_request_sent_again(
    case: support.Case,
) -> None:
    """Guards against TWICE and REFUSED, with a caller that keeps its id."""

    async def work(targets: test_adversary.AdversarialTargets) -> None:
        for number in range(REPEATS):
            prefix = ('/once/', '/stream/')[number % 2]
            rejections = [REJECTION] * (test_adversary.SERVERS + 1)
            targets.script.extend(rejections)
            await targets.call(prefix, f'repeated-{number}')
            targets.script.clear()
            await targets.call(prefix, f'repeated-{number}')

    targets = run(work)
    refused, served = targets.calls[::2], targets.calls[1::2]
    case.assertEqual(
        {503}, {call.refusal.status for call in refused if call.refusal}
    )
    case.assertEqual(REPEATS, len([c for c in refused if c.refusal]))
    case.assertEqual([], [call.refusal for call in served if call.refusal])
    runs = targets.count_runs()
    case.assertEqual({1}, {runs[call.request_id] for call in served})


def test_copy_of_a_421_decides_about_the_attempt_at_the_next_incarnation(
    case: support.Case,
) -> None:
    """Guards against TWICE: two entries name one address after a restart."""

    async def work(targets: test_adversary.AdversarialTargets) -> None:
        plain = [
            target
            for target in targets.fixture.router.catalog.list_all()
            if target.service == call_fakes.PLAIN_SERVICE
        ]
        targets.fixture.remove_targets(plain[1:])
        former = attrs.evolve(plain[0], name='former')
        targets.fixture.add_target(former)
        for server in targets.servers:
            server.draw_mismatch = (  # type: ignore[method-assign]
                lambda: MISMATCH
            )
        for _ in range(REPEATS):
            await targets.call('/once/')

    targets = run(work)
    first_targets = {call.attempts[0].target.name for call in targets.calls}
    case.assertEqual(2, len(first_targets))
    check_promises(case, targets)
    case.assertEqual([], [c.refusal for c in targets.calls if c.refusal])


def test_second_attempts_keep_to_the_connection_limit(
    case: support.Case,
) -> None:
    """A target resets what is beyond it, and the outcome is unknown."""

    async def work(targets: test_adversary.AdversarialTargets) -> None:
        for server in targets.servers:
            server.max_connections = 1
        for number in range(REPEATS):
            prefix = ('/once/', '/stream/')[number % 2]
            if number % 4 < 2:
                rejections = [REFUSAL] * test_adversary.SERVERS
                targets.script.extend(rejections)
            await targets.call(prefix)
            targets.script.clear()
            await targets.call(prefix, 'repeated')

    targets = run(work)
    statuses = {call.refusal.status for call in targets.calls if call.refusal}
    case.assertLessEqual(statuses, {503})
    attempts = [
        tuple(attempt.target.name for attempt in call.attempts)
        for call in targets.calls
    ]
    again = [names for names in attempts if len(names) > len(set(names))]
    case.assertGreaterEqual(len(again), 2, attempts)


def draw_answer(generator: random.Random) -> adversary.Answer:
    """Return a rejection or an answer, mostly with a copy that comes late."""
    answer = adversary.Answer(
        copy=generator.choice(('', 'next', 'next', 'idle')),
        copy_seconds=generator.uniform(0, test_adversary.MAX_RUN_SECONDS),
    )
    if generator.random() < REJECTED_SHARE:
        split = generator.choice((1.0, generator.random()))
        return attrs.evolve(answer, status=503, is_executed=False, split=split)
    return attrs.evolve(
        answer,
        status=generator.choice((200, 200, 500)),
        framing=generator.choice(('length', 'chunks', 'close')),
        run_seconds=generator.uniform(0, test_adversary.MAX_RUN_SECONDS),
    )


def test_copies_decide_about_no_request_under_way_twice(
    case: support.Case,
) -> None:
    """Guards against TWICE and REFUSED: at most those not refused have run."""
    generator = random.Random(1)

    async def work(targets: test_adversary.AdversarialTargets) -> None:
        for number in range(ROUNDS):
            targets.script.clear()
            targets.script.extend(draw_answer(generator) for _ in range(12))
            prefix = generator.choice(test_adversary.ONCE_PREFIXES)
            for _ in range(generator.choice((1, 2, 3))):
                request_ids = [f'repeated-{number}'] * generator.choice((1, 2))
                await asyncio.gather(
                    targets.call(prefix),
                    *(targets.call(prefix, name) for name in request_ids),
                )
        await asyncio.sleep(test_adversary.LATE_SECONDS)

    targets = run(work)
    runs = targets.count_runs()
    unrefused = collections.Counter(
        call.request_id
        for call in targets.calls
        if call.refusal is None or call.refusal.status != 503
    )
    for request_id, count in runs.items():
        case.assertLessEqual(count, unrefused[request_id], request_id)
    refused = len(targets.calls) - unrefused.total()
    case.assertGreaterEqual(refused, ROUNDS // 4)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
