"""Reference of settings, made from the classes that hold them."""

from collections import abc
import typing

import attrs

from pistachioseam import events


def list_settings(
    kind: type[typing.Any], prefix: str = ''
) -> abc.Iterator[str]:
    """Yield a line for each setting: key, type and default."""
    hints = typing.get_type_hints(kind)
    for field in attrs.fields(kind):
        hint = hints[field.name]
        key = f'{prefix}{field.name}'
        nested = _find_nested(hint)
        if nested is None:
            yield f'{key}: {_name_type(hint)}{_describe_default(field)}'
        else:
            is_list = typing.get_origin(hint) is tuple
            yield from list_settings(nested, key + ('[].' if is_list else '.'))


def list_events() -> abc.Iterator[str]:
    """Yield a line for each numbered event of the log."""
    for event in events.Event:
        kind = event.value
        yield f'{kind.number} {kind.level.value}: {kind.message}'


def _find_nested(hint: typing.Any) -> type[typing.Any] | None:
    for candidate in (hint, *typing.get_args(hint)):
        if isinstance(candidate, type) and attrs.has(candidate):
            return candidate
    return None


def _name_type(hint: typing.Any) -> str:
    if typing.get_origin(hint) is tuple:
        return f'list of {typing.get_args(hint)[0].__name__}'
    return str(getattr(hint, '__name__', hint))


def _describe_default(field: typing.Any) -> str:
    if field.default is attrs.NOTHING:
        return ', required'
    return f', default {field.default!r}'
