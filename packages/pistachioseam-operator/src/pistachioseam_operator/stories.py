"""Log lines of one request, collected from the logs of all hosts."""

from collections import abc
import json
import typing

import attrs

COMMON_FIELDS = frozenset(
    ('time', 'level', 'host', 'event', 'message', 'request_id')
)
"""Fields common to all lines of a request.

The others are the event's details.
"""


@attrs.frozen
class LogLine:
    """One log line of a request; `fields` holds the event's details."""

    time: str
    host: str
    event: int
    message: str
    fields: dict[str, typing.Any]

    def format(self) -> str:
        """Return the line as text, without details that are empty."""
        details = ' '.join(
            f'{name}={_format_value(value)}'
            for name, value in self.fields.items()
            if value not in ('', None, [])
        )
        return (
            f'{self.time} {self.host} {self.event} {self.message}: {details}'
        )


def _format_value(value: object) -> str:
    if isinstance(value, list):
        return ','.join(map(str, value))
    return str(value)


def find_request_lines(
    lines: abc.Iterable[str], request_id: str
) -> tuple[LogLine, ...]:
    """Return the lines of a request, ordered by time.

    Text before a line's JSON object, such as a log collector's prefix, is
    ignored, and so are lines without a JSON object, which the router did not
    write.
    """
    matching = []
    for text in lines:
        if request_id not in text:
            continue
        content = _parse_json_object(text)
        if content.get('request_id') != request_id:
            continue
        fields = {
            name: value
            for name, value in content.items()
            if name not in COMMON_FIELDS
        }
        matching.append(
            LogLine(
                str(content.get('time', '')),
                str(content.get('host', '')),
                int(content.get('event', 0)),
                str(content.get('message', '')),
                fields,
            )
        )
    return tuple(sorted(matching, key=lambda line: line.time))


def _parse_json_object(text: str) -> dict[str, typing.Any]:
    """Return the JSON object that ends a line, or an empty one."""
    start = text.find('{')
    if start < 0:
        return {}
    try:
        content = json.loads(text[start:])
    except ValueError:
        return {}
    return content if isinstance(content, dict) else {}
