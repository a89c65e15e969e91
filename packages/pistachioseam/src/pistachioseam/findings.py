"""Defects found by validation, each with its location."""

from collections import abc
import enum

import attrs


class Severity(enum.Enum):
    """Severity of a finding."""

    ERROR = 'error'
    """The row or file is rejected; the last accepted one stays in force."""
    WARNING = 'warning'
    """The row or file is accepted."""


@attrs.frozen
class Location:
    """Location of a defect: file or table, row or section, and field."""

    source: str
    row: str = ''
    field: str = ''

    def format(self) -> str:
        """Return the non-empty parts, joined by colons."""
        parts = (self.source, self.row, self.field)
        return ':'.join(part for part in parts if part)


@attrs.frozen
class Finding:
    """One defect and its location."""

    location: Location
    reason: str
    severity: Severity = Severity.ERROR

    def format(self) -> str:
        """Return the finding as one line."""
        return (
            f'{self.location.format()}: {self.severity.value}: {self.reason}'
        )


def has_errors(findings: abc.Iterable[Finding]) -> bool:
    """Return whether any finding is an error."""
    return any(finding.severity is Severity.ERROR for finding in findings)
