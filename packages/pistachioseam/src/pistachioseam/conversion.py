"""Conversion between plain data and attrs classes, with findings."""

import typing

import attrs
import cattrs
from cattrs import errors
from cattrs import gen
from cattrs import v
from returns import result

from pistachioseam import findings

T = typing.TypeVar('T')


def _create_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for scalar in (str, int, float, bool):
        converter.register_structure_hook(scalar, _make_scalar_hook(scalar))
    converter.register_structure_hook_factory(
        attrs.has, lambda kind: _make_class_hook(kind, converter)
    )
    return converter


def _make_class_hook(
    kind: type[typing.Any], converter: cattrs.Converter
) -> typing.Callable[[typing.Any, typing.Any], typing.Any]:
    """Return a hook that validates each field, so its place is known."""
    overrides = {
        field.name: gen.override(
            struct_hook=_make_field_hook(field, converter)
        )
        for field in attrs.fields(kind)
        if field.validator is not None
    }
    # The stubs of the library do not know its keyword overrides.
    make: typing.Any = gen.make_dict_structure_fn
    hook: typing.Callable[[typing.Any, typing.Any], typing.Any] = make(
        kind, converter, _cattrs_forbid_extra_keys=True, **overrides
    )
    return hook


def _make_field_hook(
    field: typing.Any, converter: cattrs.Converter
) -> typing.Callable[[typing.Any, typing.Any], typing.Any]:
    def structure_field(value: typing.Any, kind: typing.Any) -> typing.Any:
        structured = converter.structure(value, kind)
        field.validator(None, field, structured)
        return structured

    return structure_field


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
