"""Differences between two versions of a document."""

from collections import abc
import json
import typing

import attrs

ABSENT = object()
"""Stands for the value of a field that one version does not have."""


@attrs.frozen
class Difference:
    """Path of a field, and its former and new value as JSON.

    A value is empty if the version does not have the field.
    """

    path: str
    former: str
    new: str

    def format(self) -> str:
        """Return the difference as one line."""
        return (
            f'{self.path}: {self.former or "absent"} -> {self.new or "absent"}'
        )


def compare(
    former: typing.Any, new: typing.Any, path: str = ''
) -> abc.Iterator[Difference]:
    """Yield the differences; items of lists are matched by their names."""
    former_items, new_items = _list_items(former), _list_items(new)
    has_other_type = isinstance(former, list) != isinstance(new, list)
    if former_items is None or new_items is None or has_other_type:
        if former is ABSENT or new is ABSENT or former != new:
            yield Difference(path, _encode(former), _encode(new))
        return
    for name in dict.fromkeys((*former_items, *new_items)):
        yield from compare(
            former_items.get(name, ABSENT),
            new_items.get(name, ABSENT),
            f'{path}.{name}' if path else name,
        )


def _list_items(value: typing.Any) -> dict[str, typing.Any] | None:
    """Return the parts of a value by name, None if it has none."""
    if isinstance(value, dict):
        return {str(name): part for name, part in value.items()}
    if not isinstance(value, list):
        return None
    names = [
        item.get('name') if isinstance(item, dict) else None for item in value
    ]
    if len(set(map(str, names))) < len(names) or None in names:
        return None
    return {str(item['name']): item for item in value}


def _encode(value: typing.Any) -> str:
    if value is ABSENT:
        return ''
    return json.dumps(value, sort_keys=True, default=str)
