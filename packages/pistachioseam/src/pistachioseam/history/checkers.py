"""Registry of checkers, by the name of the promise that each one checks."""

from collections import abc
import typing

import attrs

from pistachioseam.history import records


@attrs.frozen
class Violation:
    """Violation of a promise: its time in seconds and what happened."""

    promise: str
    at: float
    detail: str


Checker: typing.TypeAlias = abc.Callable[
    [records.History], abc.Iterator[Violation]
]
REGISTRY: dict[str, Checker] = {}


def register(promise: str) -> abc.Callable[[Checker], Checker]:
    """Return a decorator that registers the checker of a promise."""

    def add(checker: Checker) -> Checker:
        REGISTRY[promise] = checker
        return checker

    return add


def check_history(history: records.History) -> tuple[Violation, ...]:
    """Return the violations that all checkers find."""
    return tuple(
        violation
        for name in sorted(REGISTRY)
        for violation in REGISTRY[name](history)
    )
