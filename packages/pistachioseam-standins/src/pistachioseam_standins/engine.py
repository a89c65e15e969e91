"""Stand-in of a model engine with a prefix cache and resumable streams.

Tokens are a function of the prompt and their number, so an answer continued
on another engine can be compared with a whole one. A prompt that holds the
word POISON ends the process. `POST /faults` sets `cut_after_pieces`.
"""

import collections
import hashlib
import json
import os
import secrets
import typing

import attrs
import klein
from twisted.internet import defer

from pistachioseam_standins import serving

DEFAULT_TOKENS = 16
KEEP_STREAM_SECONDS = 5.0
POISON = 'POISON'


@attrs.frozen(kw_only=True)
class Options:
    """Speed and cache of an engine; pieces are of `piece_bytes`."""

    model: str = 'carver'
    weights_version: str = '1'
    piece_bytes: int = 8000
    capacity_pieces: int = 200
    prefill_seconds_per_piece: float = 0.02
    token_seconds: float = 0.005


@attrs.define
class Stream:
    """Generated tokens of one request; `first` is the number of the first."""

    request_id: str
    first: int
    tokens: list[str]
    ready: int = 0
    is_cancelled: bool = False
    reader: int = 0
    changed: list[defer.Deferred[None]] = attrs.field(factory=list)

    def advance(self) -> None:
        """Make one more token ready."""
        self.ready += 1
        waiting, self.changed = self.changed, []
        for deferred in waiting:
            deferred.callback(None)


class Engine:
    """One engine incarnation."""

    app = klein.Klein()

    def __init__(self, options: Options) -> None:
        self.options = options
        self.incarnation = secrets.token_hex(6)
        self.streams: dict[str, Stream] = {}
        self.executions: list[str] = []
        self.cancelled: list[str] = []
        self.cut_after_pieces = 0
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._prefill = defer.DeferredLock()
        self._outstanding = 0.0

    @app.route('/v1/chat/completions', methods=['POST'])
    async def complete(self, request: typing.Any) -> bytes | None:
        """Answer a prompt, whole or as a stream."""
        body = serving.read_json(request)
        expected = request.getHeader('weights-version')
        if expected not in (None, self.options.weights_version):
            return serving.encode_json(request, {'error': 'weights'}, 409)
        request_id = request.getHeader('request-id') or secrets.token_hex(8)
        self.executions.append(request_id)
        if POISON in json.dumps(body['messages']):
            os._exit(1)
        stream = self._create_stream(request, request_id, body)
        salt = request.getHeader('cache-salt') or ''
        cached = await self._compute_prompt(salt, body['messages'])
        self._set_headers(request, cached)
        self.streams[request_id] = stream
        self._generate(stream)
        if body.get('stream'):
            await self._send_stream(request, stream, stream.first)
            return b''
        while stream.ready < len(stream.tokens):
            await self._wait(stream)
        return self._encode_answer(request, stream, body)

    def _create_stream(
        self, request: typing.Any, request_id: str, body: typing.Any
    ) -> Stream:
        messages = list(body['messages'])
        first = 0
        if body.get('continue_final_message'):
            messages.pop()
            first = int(request.getHeader('first-piece-number') or 0)
        prompt = json.dumps(messages)
        count = body.get('max_tokens') or body.get('max_completion_tokens')
        count = DEFAULT_TOKENS if count is None else count
        tokens = [create_token(prompt, first + i) for i in range(count)]
        return Stream(request_id, first, tokens)

    async def _compute_prompt(self, salt: str, messages: typing.Any) -> int:
        """Prefill one prompt at a time; return the cached pieces."""
        prompt = ''.join(f'{m["role"]}\0{m["content"]}\0' for m in messages)
        size = self.options.piece_bytes
        chain = []
        previous = salt
        for start in range(0, len(prompt) - size + 1, size):
            text = previous + prompt[start : start + size]
            previous = hashlib.sha256(text.encode()).hexdigest()
            chain.append(previous)
        work = len(prompt) / size * self.options.prefill_seconds_per_piece
        self._outstanding += work
        await self._prefill.acquire()
        try:
            cached = 0
            while cached < len(chain) and chain[cached] in self._cache:
                cached += 1
            missing = max(0.0, len(prompt) / size - cached)
            seconds = missing * self.options.prefill_seconds_per_piece
            await serving.sleep(seconds)
            self._remember(chain)
        finally:
            self._prefill.release()
            self._outstanding -= work
        return cached

    def _remember(self, chain: list[str]) -> None:
        for piece in chain:
            self._cache[piece] = None
            self._cache.move_to_end(piece)
        while len(self._cache) > self.options.capacity_pieces:
            self._cache.popitem(last=False)

    def _set_headers(self, request: typing.Any, cached: int) -> None:
        request.setHeader('incarnation', self.incarnation)
        request.setHeader('cached-pieces', str(cached))

    def _generate(self, stream: Stream) -> None:
        if stream.is_cancelled:
            return
        if stream.ready == len(stream.tokens):
            serving.call_later(
                KEEP_STREAM_SECONDS, self.streams.pop, stream.request_id, None
            )
            return
        stream.advance()
        serving.call_later(self.options.token_seconds, self._generate, stream)

    async def _wait(self, stream: Stream) -> None:
        deferred: defer.Deferred[None] = defer.Deferred()
        stream.changed.append(deferred)
        await deferred

    async def _send_stream(
        self, request: typing.Any, stream: Stream, number: int
    ) -> None:
        request.setHeader('content-type', 'text/event-stream')
        stream.reader += 1
        reader = stream.reader
        end = stream.first + len(stream.tokens)
        sent = 0
        while number < end:
            while number >= stream.first + stream.ready:
                await self._wait(stream)
            if request._disconnected or stream.reader != reader:
                return
            token = stream.tokens[number - stream.first]
            request.write(encode_chunk(stream.request_id, number, token))
            number += 1
            sent += 1
            if self.cut_after_pieces and sent == self.cut_after_pieces:
                self.cut_after_pieces = 0
                request.transport.abortConnection()
                return
        if not request._disconnected:
            done = f'id: {stream.request_id}:{end}\ndata: [DONE]\n\n'
            request.write(done.encode())

    def _encode_answer(
        self, request: typing.Any, stream: Stream, body: typing.Any
    ) -> bytes:
        message = {'role': 'assistant', 'content': ''.join(stream.tokens)}
        choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
        usage = {
            'prompt_tokens': 0,
            'completion_tokens': len(stream.tokens),
            'total_tokens': len(stream.tokens),
        }
        content = {
            'id': stream.request_id,
            'object': 'chat.completion',
            'created': 0,
            'model': body['model'],
            'choices': [choice],
            'usage': usage,
        }
        return serving.encode_json(request, content)

    @app.route('/v1/streams/<request_id>', methods=['GET'])
    async def resume(self, request: typing.Any, request_id: str) -> bytes:
        """Send the rest of a stream from the piece number `after`."""
        expected = request.getHeader('expected-incarnation')
        stream = self.streams.get(request_id)
        if stream is None or expected != self.incarnation:
            return serving.encode_json(request, {'error': 'gone'}, 410)
        after = int(request.args[b'after'][0])
        self._set_headers(request, 0)
        await self._send_stream(request, stream, after)
        return b''

    @app.route('/v1/streams/<request_id>', methods=['DELETE'])
    def cancel(self, request: typing.Any, request_id: str) -> bytes:
        """Stop generating a stream."""
        stream = self.streams.pop(request_id, None)
        if stream is not None:
            stream.is_cancelled = True
            self.cancelled.append(request_id)
        return serving.encode_json(request, {})

    @app.route('/v1/state', methods=['GET'])
    def get_state(self, request: typing.Any) -> bytes:
        """Return incarnation, load, executions and cancellations."""
        content = {
            'incarnation': self.incarnation,
            'weights_version': self.options.weights_version,
            'outstanding_seconds': self._outstanding,
            'executions': self.executions,
            'cancelled': self.cancelled,
            'is_leaving': False,
        }
        return serving.encode_json(request, content)

    @app.route('/faults', methods=['POST'])
    def set_faults(self, request: typing.Any) -> bytes:
        """Set the faults of the next calls."""
        faults = serving.read_json(request)
        self.cut_after_pieces = faults.get('cut_after_pieces', 0)
        return serving.encode_json(request, faults)


def create_token(prompt: str, number: int) -> str:
    """Return the token of an answer at a position."""
    digest = hashlib.sha256(f'{number}:{prompt}'.encode())
    return digest.hexdigest()[:6] + ' '


def encode_chunk(request_id: str, number: int, token: str) -> bytes:
    """Return one piece as a numbered server-sent event."""
    choice = {'index': 0, 'delta': {'content': token}, 'finish_reason': None}
    chunk = {
        'id': request_id,
        'object': 'chat.completion.chunk',
        'created': 0,
        'model': '',
        'choices': [choice],
    }
    return f'id: {request_id}:{number}\ndata: {json.dumps(chunk)}\n\n'.encode()


def run(address: str, **options: typing.Any) -> None:
    """Serve an engine stand-in on `IP-number:port`."""
    serving.serve(Engine(Options(**options)), address)


if __name__ == '__main__':
    serving.run_command(run)
