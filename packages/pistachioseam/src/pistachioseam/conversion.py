"""Conversion between plain data and attrs classes; reports defects."""

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
        attrs.has, lambda cls: _make_class_hook(cls, converter)
    )
    return converter


def _make_class_hook(
    cls: type[typing.Any], converter: cattrs.Converter
) -> typing.Callable[[typing.Any, typing.Any], typing.Any]:
    """Return a hook that validates each field while it is converted.

    A validator that fails later, in the constructor, would raise an error
    that does not name the field.
    """
    overrides = {
        field.name: gen.override(
            struct_hook=_make_field_hook(field, converter)
        )
        for field in attrs.fields(cls)
        if field.validator is not None
    }
    # The type stubs of cattrs omit the keyword overrides.
    make: typing.Any = gen.make_dict_structure_fn
    hook: typing.Callable[[typing.Any, typing.Any], typing.Any] = make(
        cls, converter, _cattrs_forbid_extra_keys=True, **overrides
    )
    return hook


def _make_field_hook(
    field: typing.Any, converter: cattrs.Converter
) -> typing.Callable[[typing.Any, typing.Any], typing.Any]:
    def structure_field(value: typing.Any, cls: typing.Any) -> typing.Any:
        structured = converter.structure(value, cls)
        field.validator(None, field, structured)
        return structured

    return structure_field


def _make_scalar_hook(
    scalar: type,
) -> typing.Callable[[typing.Any, typing.Any], typing.Any]:
    """Return a hook that does not coerce values, except int to float."""

    def structure(value: typing.Any, _: typing.Any) -> typing.Any:
        if scalar is float and type(value) is int:
            return float(value)
        if type(value) is not scalar:
            raise TypeError(f'expected {scalar.__name__}')
        return value

    return structure


def _describe_error(error: BaseException, cls: type | None) -> str:
    if isinstance(error, errors.ForbiddenExtraKeysError):
        names = ', '.join(sorted(error.extra_fields))
        return f'unknown key: {names}'
    if isinstance(error, KeyError):
        return 'required key is missing'
    if isinstance(error, TypeError | ValueError):
        return str(error)
    return str(v.format_exception(error, cls))


_CONVERTER = _create_converter()


def structure(
    value: object, cls: type[T], location: findings.Location
) -> result.Result[T, tuple[findings.Finding, ...]]:
    """Return `value` converted to `cls`, or a finding for every defect."""
    if not isinstance(value, dict):
        finding = findings.Finding(location, 'expected a mapping')
        return result.Failure((finding,))
    try:
        return result.Success(_CONVERTER.structure(value, cls))
    except errors.ClassValidationError as error:
        lines = cattrs.transform_error(
            error, path='', format_exception=_describe_error
        )
    found = tuple(_parse_error(line, location) for line in lines)
    return result.Failure(found)


def _parse_error(line: str, location: findings.Location) -> findings.Finding:
    """Return the finding for an error line `reason @ path` of cattrs."""
    reason, _, path = line.rpartition(' @ ')
    field = path.lstrip('.')
    return findings.Finding(attrs.evolve(location, field=field), reason)


def unstructure(value: object) -> typing.Any:
    """Return an attrs value as plain mappings, lists and scalars."""
    return _CONVERTER.unstructure(value)
