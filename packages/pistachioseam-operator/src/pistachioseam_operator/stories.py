"""The story of one request, gathered from the log lines of all hosts."""

from collections import abc
import json
import typing

import attrs

COMMON = frozenset(('time', 'level', 'host', 'event', 'message', 'request_id'))


@attrs.frozen
class Line:
    """One log line that concerns a request."""

    time: str
    host: str
    event: int
    message: str
    fields: dict[str, typing.Any]

    def format(self) -> str:
        """Return the line for people."""
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


def find_story(lines: abc.Iterable[str], request_id: str) -> tuple[Line, ...]:
    """Return the lines of a request in order of their time.

    Text before the JSON object of a line is skipped; other lines are not the
    router's.
    """
    found = []
    for text in lines:
        if request_id not in text:
            continue
        content = _parse(text)
        if content.get('request_id') != request_id:
            continue
        fields = {
            name: value
            for name, value in content.items()
            if name not in COMMON
        }
        found.append(
            Line(
                str(content.get('time', '')),
                str(content.get('host', '')),
                int(content.get('event', 0)),
                str(content.get('message', '')),
                fields,
            )
        )
    return tuple(sorted(found, key=lambda line: line.time))


def _parse(text: str) -> dict[str, typing.Any]:
    start = text.find('{')
    if start < 0:
        return {}
    try:
        content = json.loads(text[start:])
    except ValueError:
        return {}
    return content if isinstance(content, dict) else {}
