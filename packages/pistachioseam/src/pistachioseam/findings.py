"""Findings of checks, collected with their place and reported together."""

from collections import abc
import enum

import attrs


class Severity(enum.Enum):
    """Effect of a finding on the row it names."""

    ERROR = 'error'
    """The row is not accepted; its last accepted form stays in force."""
    WARNING = 'warning'
    """The row is accepted as it is."""


@attrs.frozen
class Place:
    """Where a finding lies: file or table, row or section, and field."""

    source: str
    row: str = ''
    field: str = ''

    def format(self) -> str:
        """Return the parts that are known, joined by colons."""
        parts = (self.source, self.row, self.field)
        return ':'.join(part for part in parts if part)


@attrs.frozen
class Finding:
    """One defect at one place."""

    place: Place
    reason: str
    severity: Severity = Severity.ERROR

    def format(self) -> str:
        """Return the finding as one line."""
        return f'{self.place.format()}: {self.severity.value}: {self.reason}'


def has_errors(findings: abc.Iterable[Finding]) -> bool:
    """Tell whether any finding is an error."""
    return any(finding.severity is Severity.ERROR for finding in findings)
