"""Settings files of all processes: reading, and what they share.

All errors of a file are reported together, each with file, key and reason.
"""

import pathlib
import typing

import attrs
from returns import result
import yaml

from pistachioseam import conversion
from pistachioseam import findings

T = typing.TypeVar('T')
LOG_FORMATS = ('json', 'text')
LOG_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


@attrs.frozen(kw_only=True)
class Logs:
    """Level and format of the log on standard error."""

    level: str = attrs.field(
        default='INFO', validator=attrs.validators.in_(LOG_LEVELS)
    )
    format: str = attrs.field(
        default='json', validator=attrs.validators.in_(LOG_FORMATS)
    )


def load_file(
    path: pathlib.Path, settings_class: type[T]
) -> result.Result[T, tuple[findings.Finding, ...]]:
    """Return a YAML file as `settings_class`, or a finding for every error."""
    location = findings.Location(str(path))
    try:
        content = yaml.safe_load(path.read_text())
    except (OSError, yaml.YAMLError) as error:
        reason = ' '.join(str(error).split())
        return result.Failure((findings.Finding(location, reason),))
    return conversion.structure(content, settings_class, location)
