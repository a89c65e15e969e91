"""Parts of the chat-completions protocol that the router uses.

Source: the JSON body of `POST /v1/chat/completions` and the data of its
server-sent events.
"""

import json
import typing

from returns import result

from pistachioseam import exchanges
from pistachioseam import interfaces

COMPLETIONS_PATH = '/v1/chat/completions'
MODELS_PATH = '/v1/models'
DEFAULT_MAX_TOKENS = 256
END_MARK = b'[DONE]'


def parse_chat(body: bytes) -> result.Result[exchanges.ChatRequest, str]:
    """Return the parsed request, or the reason why it is malformed."""
    try:
        content = json.loads(body)
    except (ValueError, RecursionError):
        return result.Failure('the body is not JSON')
    if not isinstance(content, dict):
        return result.Failure('the body is not a JSON object')
    return _read_content(content)


def _read_content(
    content: dict[str, typing.Any],
) -> result.Result[exchanges.ChatRequest, str]:
    model = content.get('model')
    messages = content.get('messages')
    is_stream = content.get('stream', False)
    max_tokens = content.get(
        'max_completion_tokens', content.get('max_tokens')
    )
    if max_tokens is None:
        max_tokens = DEFAULT_MAX_TOKENS
    if not isinstance(model, str) or not model:
        return result.Failure('"model" must be a non-empty string')
    if not isinstance(messages, list) or not messages:
        return result.Failure('"messages" must be a non-empty list')
    if not isinstance(is_stream, bool):
        return result.Failure('"stream" must be true or false')
    if type(max_tokens) is not int or max_tokens < 1:
        return result.Failure(
            '"max_completion_tokens" or "max_tokens" must be a positive'
            ' integer'
        )
    parsed = []
    for message in messages:
        if not isinstance(message, dict) or 'role' not in message:
            return result.Failure('each message needs a role')
        text = json.dumps(message.get('content'), ensure_ascii=False)
        parsed.append(exchanges.ChatMessage(str(message['role']), text))
    return result.Success(
        exchanges.ChatRequest(model, tuple(parsed), is_stream, max_tokens)
    )


def encode_prompt(chat: exchanges.ChatRequest) -> bytes:
    """Return the prompt as bytes; equal first messages give equal prefixes."""
    parts = (f'{m.role}\0{m.content}\0' for m in chat.messages)
    return ''.join(parts).encode()


def read_piece_text(piece: interfaces.Piece) -> str:
    """Return the text that a piece adds to the response."""
    content = json.loads(piece.data)
    choices = content.get('choices') or [{}]
    return choices[0].get('delta', {}).get('content') or ''


def create_continuation(
    body: bytes, delivered: list[interfaces.Piece], max_tokens: int
) -> bytes:
    """Return a request body for the rest of a partly delivered response.

    Each delivered piece counts as one token of `max_tokens`.
    """
    content = json.loads(body)
    text = ''.join(read_piece_text(piece) for piece in delivered)
    partial = {'role': 'assistant', 'content': text}
    content['messages'] = [*content['messages'], partial]
    content['continue_final_message'] = True
    content['add_generation_prompt'] = False
    content['max_tokens'] = max_tokens - len(delivered)
    content.pop('max_completion_tokens', None)
    return json.dumps(content).encode()
