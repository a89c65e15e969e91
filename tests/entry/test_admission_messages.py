"""Questions and answers of coordinators survive the way to a peer."""

import attrs

from pistachioseam.forwarding import coordination
from pistachioseam_entry import admission_messages
from pistachioseam_peer.generated import messages_pb2
from tests import support

QUESTION = coordination.Question(
    incarnation=('engine-1', 1_700_000_000_000),
    key=2**64 - 1,
    prefill_tokens=9_190,
    memory_tokens=9_199,
    priority=2,
    objective_seconds=1.535,
    objective_left_seconds=-0.25,
    seconds_left=5.118,
    max_wait_seconds=0.3,
)


def send(message: messages_pb2.Message) -> messages_pb2.Message:
    """Return a message as a peer receives it."""
    return messages_pb2.Message.FromString(message.SerializeToString())


def send_question(question: coordination.Question) -> coordination.Question:
    """Return a question as a peer receives it."""
    message = messages_pb2.Message()
    admission_messages.add_question(message, question)
    return admission_messages.decode_question(
        send(message).host_status.admission_question
    )


def test_question_arrives_unchanged(case: support.Case) -> None:
    """A field that is lost makes coordinators admit by other terms."""
    case.assertEqual(QUESTION, send_question(QUESTION))


def test_extreme_values_fit(case: support.Case) -> None:
    """Encoding raised an error, and the call got no response."""
    question = attrs.evolve(
        QUESTION,
        prefill_tokens=2**40,
        memory_tokens=2**40,
        priority=-1,
        objective_seconds=0.0,
        objective_left_seconds=float('-inf'),
        seconds_left=float('inf'),
    )
    received = send_question(question)
    case.assertEqual(0, received.priority)
    case.assertGreater(received.seconds_left, 1e6)
    case.assertLess(received.objective_left_seconds, -1e6)
    case.assertGreater(received.memory_tokens, 2**31)
    late = attrs.evolve(QUESTION, seconds_left=-1.0)
    case.assertEqual(0.0, send_question(late).seconds_left)


def test_answers_arrive_unchanged(case: support.Case) -> None:
    """A rejection taken for an admission fills an engine."""
    for answer in (
        coordination.Answer(True, 0.25),
        coordination.Answer(False, 0.0),
        coordination.UNKNOWN_ENGINE,
    ):
        message = messages_pb2.Message()
        admission_messages.add_answer(message, answer)
        received = admission_messages.decode_answer(send(message))
        case.assertEqual(answer, received)


def test_endless_wait_fits(case: support.Case) -> None:
    """Encoding raised an error, and the coordinator seemed lost."""
    message = messages_pb2.Message()
    answer = coordination.Answer(False, float('inf'))
    admission_messages.add_answer(message, answer)
    received = admission_messages.decode_answer(send(message))
    assert received is not None
    case.assertGreater(received.expected_seconds, 1e6)


def test_handshake_is_no_answer(case: support.Case) -> None:
    """Hosts of older builds answer questions with their status."""
    message = messages_pb2.Message()
    message.host_status.SetInParent()
    case.assertIsNone(admission_messages.decode_answer(send(message)))


def test_progress_arrives_unchanged(case: support.Case) -> None:
    """A key that is lost keeps a slot."""
    progress = coordination.Progress(begun=(1, 2**64 - 1), ended=(3,))
    message = messages_pb2.Message()
    admission_messages.add_progress(message, progress)
    received = send(message).host_status.admission_progress
    case.assertEqual(progress, admission_messages.decode_progress(received))


def load_tests(*_: object) -> object:
    """Return the test functions as unittest cases."""
    return support.load_functions(globals())
