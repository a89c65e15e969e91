"""Reference lists of settings and log events, generated from the code."""

from collections import abc
import typing

import attrs

from pistachioseam import events


def list_settings(
    settings_class: type[typing.Any], prefix: str = ''
) -> abc.Iterator[str]:
    """Yield a line for each setting: dotted key, type and default."""
    hints = typing.get_type_hints(settings_class)
    for field in attrs.fields(settings_class):
        hint = hints[field.name]
        key = f'{prefix}{field.name}'
        nested = _find_nested_class(hint)
        if nested is None:
            yield f'{key}: {_format_type(hint)}{_format_default(field)}'
        else:
            is_list = typing.get_origin(hint) is tuple
            yield from list_settings(nested, key + ('[].' if is_list else '.'))


def list_events() -> abc.Iterator[str]:
    """Yield a line for each log event: number, level and message."""
    for event in events.Event:
        kind = event.value
        yield f'{kind.number} {kind.level.value}: {kind.message}'


def _find_nested_class(hint: typing.Any) -> type[typing.Any] | None:
    """Return the attrs class in a type hint such as `tuple[Class, ...]`."""
    for candidate in (hint, *typing.get_args(hint)):
        if isinstance(candidate, type) and attrs.has(candidate):
            return candidate
    return None


def _format_type(hint: typing.Any) -> str:
    if typing.get_origin(hint) is tuple:
        return f'list of {typing.get_args(hint)[0].__name__}'
    return str(getattr(hint, '__name__', hint))


def _format_default(field: typing.Any) -> str:
    if field.default is attrs.NOTHING:
        return ', required'
    return f', default {field.default!r}'
