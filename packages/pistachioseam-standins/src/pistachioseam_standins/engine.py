"""Stand-in of a model engine with a prefix cache and resumable streams.

A token is a function of the prompt and the token's number, so a stream that
continues on another engine can be compared with an uninterrupted one. The
prompt is cached in pieces of `piece_bytes` characters; a piece of a stream is
one token.

A prompt that contains POISON crashes the process. `POST /faults` sets
`cut_after_pieces`: the next connection that has sent that many pieces of a
stream is aborted; 0 means no fault.
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

DEFAULT_MAX_TOKENS = 16
STREAM_RETENTION_SECONDS = 5.0
"""Time for which a finished stream can still be resumed."""
POISON = 'POISON'


@attrs.frozen(kw_only=True)
class Options:
    """Model, cache size and speed of an engine.

    The cache holds `capacity_pieces` pieces of a prompt, of `piece_bytes`
    characters each.
    """

    model: str = 'carver'
    weights_version: str = '1'
    piece_bytes: int = 8000
    capacity_pieces: int = 200
    prefill_seconds_per_piece: float = 0.02
    token_seconds: float = 0.005


@attrs.define
class Stream:
    """Tokens of one request, of which `ready_count` are generated.

    `first_number` is the number of the first token: not 0 if the stream
    continues that of another engine. `reader_count` is the number of
    connections that have read the stream; only the latest receives pieces.
    """

    request_id: str
    first_number: int
    tokens: list[str]
    ready_count: int = 0
    is_cancelled: bool = False
    reader_count: int = 0
    waiters: list[defer.Deferred[None]] = attrs.field(factory=list)

    def advance(self) -> None:
        """Mark the next token as generated; wake the waiting connections."""
        self.ready_count += 1
        waiters, self.waiters = self.waiters, []
        for deferred in waiters:
            deferred.callback(None)


class Engine:
    """Engine with its prefix cache; each process is a new incarnation."""

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
        self._prefill_lock = defer.DeferredLock()
        self._outstanding_seconds = 0.0

    @app.route('/v1/chat/completions', methods=['POST'])
    async def complete(self, request: typing.Any) -> bytes | None:
        """Respond to a prompt with one completion or a stream of tokens."""
        body = serving.read_json(request)
        expected_version = request.getHeader('weights-version')
        if expected_version not in (None, self.options.weights_version):
            return serving.encode_json(request, {'error': 'weights'}, 409)
        request_id = request.getHeader('request-id') or secrets.token_hex(8)
        self.executions.append(request_id)
        if POISON in json.dumps(body['messages']):
            os._exit(1)
        stream = self._create_stream(request, request_id, body)
        salt = request.getHeader('cache-salt') or ''
        cached_pieces = await self._prefill_prompt(salt, body['messages'])
        self._set_response_headers(request, cached_pieces)
        self.streams[request_id] = stream
        self._generate_tokens(stream)
        if body.get('stream'):
            await self._send_stream(request, stream, stream.first_number)
            return b''
        while stream.ready_count < len(stream.tokens):
            await self._wait_for_token(stream)
        return self._encode_completion(request, stream, body)

    def _create_stream(
        self, request: typing.Any, request_id: str, body: typing.Any
    ) -> Stream:
        messages = list(body['messages'])
        first_number = 0
        if body.get('continue_final_message'):
            messages.pop()
            first_number = int(request.getHeader('first-piece-number') or 0)
        prompt = json.dumps(messages)
        count = body.get('max_tokens') or body.get('max_completion_tokens')
        count = DEFAULT_MAX_TOKENS if count is None else count
        tokens = [create_token(prompt, first_number + i) for i in range(count)]
        return Stream(request_id, first_number, tokens)

    async def _prefill_prompt(self, salt: str, messages: typing.Any) -> int:
        """Wait for the prefill; return the number of leading cached pieces.

        Prompts are prefilled one at a time.
        """
        prompt = ''.join(f'{m["role"]}\0{m["content"]}\0' for m in messages)
        size = self.options.piece_bytes
        prefix_hashes = []
        parent_hash = salt
        for start in range(0, len(prompt) - size + 1, size):
            text = parent_hash + prompt[start : start + size]
            parent_hash = hashlib.sha256(text.encode()).hexdigest()
            prefix_hashes.append(parent_hash)
        work_seconds = (
            len(prompt) / size * self.options.prefill_seconds_per_piece
        )
        self._outstanding_seconds += work_seconds
        await self._prefill_lock.acquire()
        try:
            cached_pieces = 0
            while (
                cached_pieces < len(prefix_hashes)
                and prefix_hashes[cached_pieces] in self._cache
            ):
                cached_pieces += 1
            missing_pieces = max(0.0, len(prompt) / size - cached_pieces)
            seconds = missing_pieces * self.options.prefill_seconds_per_piece
            await serving.sleep(seconds)
            self._cache_pieces(prefix_hashes)
        finally:
            self._prefill_lock.release()
            self._outstanding_seconds -= work_seconds
        return cached_pieces

    def _cache_pieces(self, prefix_hashes: list[str]) -> None:
        """Add pieces as the most recently used; evict the least recent."""
        for prefix_hash in prefix_hashes:
            self._cache[prefix_hash] = None
            self._cache.move_to_end(prefix_hash)
        while len(self._cache) > self.options.capacity_pieces:
            self._cache.popitem(last=False)

    def _set_response_headers(
        self, request: typing.Any, cached_pieces: int
    ) -> None:
        request.setHeader('incarnation', self.incarnation)
        request.setHeader('cached-pieces', str(cached_pieces))

    def _generate_tokens(self, stream: Stream) -> None:
        """Generate a token and schedule the next one."""
        if stream.is_cancelled:
            return
        if stream.ready_count == len(stream.tokens):
            serving.call_later(
                STREAM_RETENTION_SECONDS,
                self.streams.pop,
                stream.request_id,
                None,
            )
            return
        stream.advance()
        serving.call_later(
            self.options.token_seconds, self._generate_tokens, stream
        )

    async def _wait_for_token(self, stream: Stream) -> None:
        deferred: defer.Deferred[None] = defer.Deferred()
        stream.waiters.append(deferred)
        await deferred

    async def _send_stream(
        self, request: typing.Any, stream: Stream, next_number: int
    ) -> None:
        """Send the pieces from a number on.

        Ends early if the caller disconnects, if another connection resumes
        the stream, or at an injected fault.
        """
        request.setHeader('content-type', 'text/event-stream')
        stream.reader_count += 1
        reader_number = stream.reader_count
        end_number = stream.first_number + len(stream.tokens)
        sent_count = 0
        while next_number < end_number:
            while next_number >= stream.first_number + stream.ready_count:
                await self._wait_for_token(stream)
            if request._disconnected or stream.reader_count != reader_number:
                return
            token = stream.tokens[next_number - stream.first_number]
            request.write(encode_chunk(stream.request_id, next_number, token))
            next_number += 1
            sent_count += 1
            if self.cut_after_pieces and sent_count == self.cut_after_pieces:
                self.cut_after_pieces = 0
                request.transport.abortConnection()
                return
        if not request._disconnected:
            done = f'id: {stream.request_id}:{end_number}\ndata: [DONE]\n\n'
            request.write(done.encode())

    def _encode_completion(
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
        """Send the rest of a stream, from piece number `after` on."""
        expected_incarnation = request.getHeader('expected-incarnation')
        stream = self.streams.get(request_id)
        if stream is None or expected_incarnation != self.incarnation:
            return serving.encode_json(request, {'error': 'gone'}, 410)
        next_number = int(request.args[b'after'][0])
        self._set_response_headers(request, 0)
        await self._send_stream(request, stream, next_number)
        return b''

    @app.route('/v1/streams/<request_id>', methods=['DELETE'])
    def cancel(self, request: typing.Any, request_id: str) -> bytes:
        """Stop generating a stream and discard it."""
        stream = self.streams.pop(request_id, None)
        if stream is not None:
            stream.is_cancelled = True
            self.cancelled.append(request_id)
        return serving.encode_json(request, {})

    @app.route('/v1/state', methods=['GET'])
    def get_state(self, request: typing.Any) -> bytes:
        """Return incarnation, prefill load, executions and cancellations."""
        content = {
            'incarnation': self.incarnation,
            'weights_version': self.options.weights_version,
            'outstanding_seconds': self._outstanding_seconds,
            'executions': self.executions,
            'cancelled': self.cancelled,
            'is_leaving': False,
        }
        return serving.encode_json(request, content)

    @app.route('/faults', methods=['POST'])
    def set_faults(self, request: typing.Any) -> bytes:
        """Set the fault of the next stream."""
        faults = serving.read_json(request)
        self.cut_after_pieces = faults.get('cut_after_pieces', 0)
        return serving.encode_json(request, faults)


def create_token(prompt: str, number: int) -> str:
    """Return the token with a given number in the completion of a prompt."""
    digest = hashlib.sha256(f'{number}:{prompt}'.encode())
    return digest.hexdigest()[:6] + ' '


def encode_chunk(request_id: str, number: int, token: str) -> bytes:
    """Return one token as a server-sent event whose id ends in its number."""
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
    """Serve an engine on `IP:port`; options are the fields of `Options`."""
    serving.serve(Engine(Options(**options)), address)


if __name__ == '__main__':
    serving.run_command(run)
