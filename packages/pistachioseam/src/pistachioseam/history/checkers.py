"""Registry of checkers, one for each promise of the brief."""

from collections import abc
import typing

import attrs

from pistachioseam.history import records


@attrs.frozen
class Violation:
    """One breach of a promise, at a time of the history."""

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
    """Return every violation of every promise."""
    return tuple(
        violation
        for name in sorted(REGISTRY)
        for violation in REGISTRY[name](history)
    )
