"""Check of files before operators submit them.

A file is a table file, or a desired state in the format of the users' platform
if its adapter is installed.
"""

from collections import abc
import importlib
import json
import pathlib
import typing

import attrs
from returns import pipeline

from pistachioseam import findings
from pistachioseam_operator import differences
from pistachioseam_operator import files

PLATFORM_CHECKS = 'pistachioseam_platform.checks'


@attrs.frozen
class Report:
    """Findings, and differences from the version in force."""

    found: tuple[findings.Finding, ...]
    changed: tuple[differences.Difference, ...] = ()

    def format(self) -> str:
        """Return one line for each finding and each difference."""
        lines = [finding.format() for finding in self.found]
        lines.extend(
            f'changed: {difference.format()}' for difference in self.changed
        )
        return ''.join(f'{line}\n' for line in lines)

    def format_json(self) -> str:
        """Return the report as one JSON object."""
        content = {
            'findings': [
                {
                    **attrs.asdict(finding.location),
                    'severity': finding.severity.value,
                    'reason': finding.reason,
                }
                for finding in self.found
            ],
            'differences': [
                attrs.asdict(difference) for difference in self.changed
            ],
        }
        return json.dumps(content, indent=2) + '\n'


def check(
    paths: abc.Sequence[pathlib.Path],
    against: pathlib.Path | None,
    former: bytes | None,
    capacity: float,
) -> Report:
    """Return the report on table files, or on one desired state.

    `former` is the desired state in force; `against` is a file with that of
    either kind. Without both, there are no differences.
    """
    platform = _import_platform_checks()
    if platform is None or not any(
        _is_desired_state(platform, path) for path in paths
    ):
        return _check_tables(paths, against)
    if len(paths) > 1:
        location = findings.Location(str(paths[-1]))
        reason = 'a desired state is one file'
        return Report((findings.Finding(location, reason),))
    (path,) = paths
    checked = platform.check_content(path.read_bytes(), str(path), capacity)
    found = list(checked.found)
    if against is not None:
        try:
            former = against.read_bytes()
        except OSError as error:
            location = findings.Location(str(against))
            found.append(findings.Finding(location, str(error)))
    if former is None or checked.content is None:
        return Report(tuple(found))
    in_force = platform.check_content(former, str(against or 'in force'))
    if in_force.content is None:
        # Nothing can be compared; the findings say why.
        return Report((*found, *in_force.found))
    changed = differences.compare(in_force.content, checked.content)
    return Report(tuple(found), tuple(changed))


def _import_platform_checks() -> typing.Any:
    try:
        return importlib.import_module(PLATFORM_CHECKS)
    except ModuleNotFoundError:
        return None


def _is_desired_state(platform: typing.Any, path: pathlib.Path) -> bool:
    try:
        return platform.is_desired_state(json.loads(path.read_bytes()))
    except (OSError, ValueError, RecursionError):
        return False


def _check_tables(
    paths: abc.Sequence[pathlib.Path], against: pathlib.Path | None
) -> Report:
    found = files.check_files(paths)
    if against is None or findings.has_errors(found):
        return Report(found)
    former = files.read_files([against])
    if not pipeline.is_successful(former):
        return Report((*found, *former.failure()))
    new = files.read_files(paths)
    changed = differences.compare(former.unwrap().rows, new.unwrap().rows)
    return Report(found, tuple(changed))


async def read_in_force(address: str) -> bytes | None:
    """Return the desired state in a store, None if it cannot be read."""
    platform = _import_platform_checks()
    if platform is None:
        return None
    content: bytes | None = await platform.read_in_force(address)
    return content
