"""Conversion of questions to coordinators, and of their answers."""

from pistachioseam.forwarding import coordination
from pistachioseam_entry import member_messages
from pistachioseam_peer.generated import messages_pb2

MS_PER_SECOND = 1000.0
MAX_MS = 2**31 - 1
MAX_TOKENS = 2**32 - 1
"""Largest number of a field; callers may state more tokens."""


def _encode_seconds(seconds: float) -> int:
    """Return milliseconds that fit into a field, also for infinite times."""
    return int(max(-MAX_MS, min(MAX_MS, seconds * MS_PER_SECOND)))


def add_question(
    message: messages_pb2.Message, question: coordination.Question
) -> None:
    """Set the content of a message to a question."""
    # All that hosts of earlier builds see is a partial status.
    message.host_status.is_partial = True
    encoded = message.host_status.admission_question
    encoded.target, encoded.born_ms = question.incarnation
    encoded.key = question.key
    encoded.prefill_tokens = min(MAX_TOKENS, question.prefill_tokens)
    encoded.memory_tokens = min(MAX_TOKENS, question.memory_tokens)
    encoded.priority = max(0, question.priority)
    encoded.objective_ms = _encode_seconds(question.objective_seconds)
    encoded.objective_left_ms = _encode_seconds(
        question.objective_left_seconds
    )
    encoded.time_left_ms = max(0, _encode_seconds(question.seconds_left))
    encoded.max_wait_ms = _encode_seconds(question.max_wait_seconds)


def decode_question(
    encoded: messages_pb2.AdmissionQuestion,
) -> coordination.Question:
    """Return a question."""
    return coordination.Question(
        incarnation=(encoded.target, encoded.born_ms),
        key=encoded.key,
        prefill_tokens=encoded.prefill_tokens,
        memory_tokens=encoded.memory_tokens,
        priority=encoded.priority,
        objective_seconds=encoded.objective_ms / MS_PER_SECOND,
        objective_left_seconds=encoded.objective_left_ms / MS_PER_SECOND,
        seconds_left=encoded.time_left_ms / MS_PER_SECOND,
        max_wait_seconds=encoded.max_wait_ms / MS_PER_SECOND,
    )


def add_answer(
    message: messages_pb2.Message, answer: coordination.Answer
) -> None:
    """Set the content of a message to an answer.

    There is no content if the engine is not known.
    """
    if not answer.is_engine_known:
        return
    message.admission_word.is_granted = answer.is_granted
    message.admission_word.expected_ms = _encode_seconds(
        answer.expected_seconds
    )
    if answer.coordinator is not None:
        message.admission_word.coordinator.CopyFrom(
            member_messages.encode_peer(answer.coordinator)
        )


def decode_answer(
    message: messages_pb2.Message,
) -> coordination.Answer | None:
    """Return an answer, None if the message is none.

    Hosts of older builds answer questions with a handshake.
    """
    content = message.WhichOneof('content')
    if content is None:
        return coordination.UNKNOWN_ENGINE
    if content != 'admission_word':
        return None
    word = message.admission_word
    coordinator = None
    if word.HasField('coordinator'):
        coordinator = member_messages.decode_peer(word.coordinator)
    return coordination.Answer(
        word.is_granted,
        word.expected_ms / MS_PER_SECOND,
        coordinator=coordinator,
    )


def add_progress(
    message: messages_pb2.Message, progress: coordination.Progress
) -> None:
    """Set the content of a message to a report of progress."""
    message.host_status.is_partial = True
    encoded = message.host_status.admission_progress
    encoded.begun.extend(progress.begun)
    encoded.ended.extend(progress.ended)


def decode_progress(
    encoded: messages_pb2.AdmissionProgress,
) -> coordination.Progress:
    """Return a report of progress."""
    return coordination.Progress(
        begun=tuple(encoded.begun), ended=tuple(encoded.ended)
    )
