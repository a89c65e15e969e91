"""Conversion between plain data and attrs classes, with findings."""

import typing

import attrs
import cattrs
from cattrs import errors
from cattrs import v
from returns import result

from pistachioseam import findings

T = typing.TypeVar('T')


def _create_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for scalar in (str, int, float, bool):
        converter.register_structure_hook(scalar, _make_scalar_hook(scalar))
    return converter


def _make_scalar_hook(
    scalar: type,
) -> typing.Callable[[typing.Any, typing.Any], typing.Any]:
    def structure(value: typing.Any, _: typing.Any) -> typing.Any:
        if scalar is float and type(value) is int:
            return float(value)
        if type(value) is not scalar:
            raise TypeError(f'expected {scalar.__name__}')
        return value

    return structure


def _describe(error: BaseException, kind: type | None) -> str:
    if isinstance(error, errors.ForbiddenExtraKeysError):
        names = ', '.join(sorted(error.extra_fields))
        return f'unknown key: {names}'
    if isinstance(error, KeyError):
        return 'required key is missing'
    if isinstance(error, TypeError | ValueError):
        return str(error)
    return str(v.format_exception(error, kind))


_CONVERTER = _create_converter()


def structure(
    value: object, kind: type[T], place: findings.Place
) -> result.Result[T, tuple[findings.Finding, ...]]:
    """Return `value` as `kind`, or every defect with its place."""
    if not isinstance(value, dict):
        finding = findings.Finding(place, 'expected a mapping')
        return result.Failure((finding,))
    try:
        return result.Success(_CONVERTER.structure(value, kind))
    except errors.ClassValidationError as error:
        lines = cattrs.transform_error(
            error, path='', format_exception=_describe
        )
    found = tuple(_locate(line, place) for line in lines)
    return result.Failure(found)


def _locate(line: str, place: findings.Place) -> findings.Finding:
    reason, _, path = line.rpartition(' @ ')
    field = path.lstrip('.')
    return findings.Finding(attrs.evolve(place, field=field), reason)


def unstructure(value: object) -> typing.Any:
    """Return an attrs value as plain mappings, lists and scalars."""
    return _CONVERTER.unstructure(value)
