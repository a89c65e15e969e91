"""Headers are decoded, and callers can't set those that control targets."""

import math

import attrs

from pistachioseam.forwarding import ports
from pistachioseam.forwarding import prompts
from pistachioseam_platform import headers
from tests import support

REQUEST = (
    (b'Host', b'Jepu9.example:80'),
    (b'X-Pistachioseam-Request-Id', b'9c41'),
    (b'Last-Event-Id', b'12'),
    (b'Resumes', b'7b20'),
    (b'X-Pistachioseam-Model', b'model-1'),
    (b'X-Pistachioseam-Token-Count', b'1460,80'),
    (b'X-Pistachioseam-Prompt-Prefix', b'5c1e:800,91bd:410,e440:250'),
    (b'X-Pistachioseam-Deadline-Ms', b'5000'),
    (b'Authorization', b'Bearer secret'),
    (b'Connection', b'keep-alive, X-Hop'),
    (b'X-Hop', b'1'),
    (b'X-Other', b'kept'),
)
FORBIDDEN_HEADERS = (
    b'X-Pistachioseam-Tenant',
    b'X-Pistachioseam-Cache-Salt',
    b'X-Pistachioseam-Kv-Fetch',
    b'X-Pistachioseam-Kv-Save',
    b'X-Pistachioseam-Kv-Backup',
    b'X-Pistachioseam-Hold',
    b'X-Pistachioseam-Pin-Ms',
    b'X-Pistachioseam-Expect-Instance',
    b'X-Pistachioseam-Expect-Version',
    b'X-Pistachioseam-Request-Priority',
    b'Kv-From',
)


def test_request_is_decoded(case: support.Case) -> None:
    """Host, key, deadline, prompt and event id are decoded."""
    head = headers.HeaderCodec().decode_call(REQUEST)
    case.assertEqual('9c41', head.request_id)
    case.assertEqual('jepu9.example', head.host)
    case.assertEqual('secret', head.key)
    case.assertEqual(5.0, head.timeout_seconds)
    case.assertEqual('12', head.after_event)
    case.assertEqual('7b20', head.resumed_request_id)
    assert head.prompt is not None
    case.assertEqual(1460, head.prompt.prompt_tokens)
    case.assertEqual(80, head.prompt.output_tokens)
    case.assertEqual(prompts.Part('5c1e', 800), head.prompt.parts[0])
    case.assertEqual('91bd', head.prompt.get_affinity_part_name())


def test_credentials_and_hop_by_hop_headers_are_not_forwarded(
    case: support.Case,
) -> None:
    """A target gets neither API keys nor headers that Connection lists."""
    head = headers.HeaderCodec().decode_call(REQUEST)
    names = {name for name, _ in head.headers}
    case.assertNotIn(b'Authorization', names)
    case.assertNotIn(b'X-Hop', names)
    case.assertIn(b'X-Other', names)
    case.assertIn(b'X-Pistachioseam-Prompt-Prefix', names)


def test_forged_headers_are_dropped(case: support.Case) -> None:
    """Headers that callers may not set are removed from their requests."""
    for name in FORBIDDEN_HEADERS:
        for variant in (name, name.lower(), name.upper()):
            pairs = (*REQUEST, (variant, b'forged'))
            head = headers.HeaderCodec().decode_call(pairs)
            case.assertNotIn(b'forged', [value for _, value in head.headers])


def test_call_is_encoded(case: support.Case) -> None:
    """Fields that are set become headers, a priority of 0 among them."""
    call = ports.OutgoingCall(
        request_id='9c41',
        method=b'POST',
        uri=b'/x',
        headers=((b'Host', b'h'),),
        body=b'',
        seconds_left=1.2345,
        incarnation='i-1',
        account='a',
        cache_salt='s',
        weights_version=3,
        priority=0,
        fetch_from='10.0.0.1:1',
        save_to='10.0.0.2:1',
        after_event='7',
    )
    encoded = dict(headers.HeaderCodec().encode_call(call))
    case.assertEqual(b'1234', encoded[headers.DEADLINE_MS])
    case.assertEqual(b'i-1', encoded[headers.EXPECT_INSTANCE])
    case.assertEqual(b'3', encoded[headers.EXPECT_VERSION])
    case.assertEqual(b'0', encoded[headers.REQUEST_PRIORITY])
    case.assertEqual(b'7', encoded[headers.LAST_EVENT_ID])


def test_target_gets_the_shorter_time_limit(case: support.Case) -> None:
    """A limit for the run never prolongs what the caller waits."""
    call = ports.OutgoingCall(
        request_id='9c41',
        method=b'POST',
        uri=b'/x',
        headers=(),
        body=b'',
        seconds_left=2.0,
        incarnation='i-1',
    )
    for run_seconds, expected in ((1.5, b'1500'), (3.0, b'2000')):
        limited = attrs.evolve(call, run_seconds_left=run_seconds)
        encoded = dict(headers.HeaderCodec().encode_call(limited))
        case.assertEqual(expected, encoded[headers.DEADLINE_MS])


def test_response_is_decoded(case: support.Case) -> None:
    """Declared rejections and misdirected calls (421) count as not run."""
    decode = headers.HeaderCodec().decode_response
    rejected = decode(503, ((b'x-pistachioseam-not-executed', b'1'),))
    case.assertTrue(rejected.is_not_run)
    misdirected = decode(421, ((b'X-Pistachioseam-Instance-Id', b'i-2'),))
    case.assertTrue(misdirected.is_not_run)
    case.assertEqual('i-2', misdirected.other_incarnation)
    unmarked = decode(503, ())
    case.assertFalse(unmarked.is_not_run)
    success = decode(
        200,
        (
            (b'X-Pistachioseam-Server-Stamp', b'mac'),
            (b'X-Pistachioseam-Weight-Versions', b'4'),
            (b'Content-Encoding', b'gzip'),
        ),
    )
    case.assertEqual(('mac', 4), (success.stamp, success.weights_version))
    case.assertTrue(success.is_encoded)


def test_head_with_two_ids_is_ambiguous(case: support.Case) -> None:
    """One id that is repeated is none of two."""
    for first, second, is_ambiguous in (
        (b'1', b'1', False),
        (b'1', b'2', True),
    ):
        pairs = ((headers.REQUEST_ID, first), (headers.REQUEST_ID, second))
        head = headers.HeaderCodec().decode_response(200, pairs)
        case.assertEqual(is_ambiguous, head.is_ambiguous)


def test_malformed_token_counts_give_no_prompt(case: support.Case) -> None:
    """A request with malformed token counts is decoded without a prompt."""
    for counts in (b'', b'a,b', b'1', b'1,2,3', b'-1,2'):
        pairs = (
            (b'X-Pistachioseam-Model', b'm'),
            (b'X-Pistachioseam-Token-Count', counts),
        )
        head = headers.HeaderCodec().decode_call(pairs)
        case.assertIsNone(head.prompt)
        case.assertIsNone(head.token_count)


def test_token_count_is_the_sum_of_both_numbers(case: support.Case) -> None:
    """A quota's cost needs no model, unlike a prompt."""
    pairs = ((b'X-Pistachioseam-Token-Count', b'1460, 80'),)
    head = headers.HeaderCodec().decode_call(pairs)
    case.assertIsNone(head.prompt)
    case.assertEqual(1540, head.token_count)


def test_notices_of_targets_are_decoded(case: support.Case) -> None:
    """Fractions are valid; everything but a plain number is malformed."""
    codec = headers.HeaderCodec()
    for text, expected in (
        (b'2', 2.0),
        (b'0.75', 0.75),
        (b'9' * 300, 1e300),
        (b'-1', None),
        (b'1e9', None),
        (b'nan', None),
        (b'Fri, 04 Dec 2026 10:00:00 GMT', None),
    ):
        head = codec.decode_response(503, ((b'retry-after', text),))
        seconds = head.retry_after_seconds
        assert seconds is not None
        if expected is None:
            case.assertTrue(math.isnan(seconds), text)
        else:
            case.assertAlmostEqual(1.0, seconds / expected)
    head = codec.decode_response(200, ())
    case.assertIsNone(head.retry_after_seconds)
    case.assertFalse(head.is_leaving)
    head = codec.decode_response(500, ((b'server-leaving', b'1'),))
    case.assertTrue(head.is_leaving)


def test_limit_of_a_response_is_decoded(case: support.Case) -> None:
    """Requests a second, NaN if malformed, None without the header."""
    codec = headers.HeaderCodec()

    def decode(*values: bytes) -> float | None:
        pairs = tuple((b'server-limit', value) for value in values)
        return codec.decode_response(200, pairs).max_request_rate

    case.assertIsNone(decode())
    case.assertEqual(1.5, decode(b'1.5'))
    case.assertEqual(20.0, decode(b'20'))
    for odd in (b'-1', b'1e3', b'nan', b'many', b'1,5'):
        case.assertTrue(math.isnan(decode(odd) or 0.0), odd)


def test_brittleness_of_a_response_is_decoded(case: support.Case) -> None:
    """Rejections a second, NaN if malformed, None without the header."""
    codec = headers.HeaderCodec()
    for value, expected in ((b'4', 4.0), (b'0.5', 0.5), (b'x', math.nan)):
        head = codec.decode_response(503, ((b'server-brittle', value),))
        case.assertEqual(str(expected), str(head.max_rejections))
    case.assertIsNone(codec.decode_response(200, ()).max_rejections)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
