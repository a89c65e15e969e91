"""Adapter that runs test functions as unittest cases.

Each function receives its case, which sets up and cleans up fixtures.
"""

import types
import typing
import unittest

import fixtures


class Case(fixtures.TestWithFixtures):
    """Case that runs one test function; its `useFixture` manages fixtures."""

    def __init__(self, function: types.FunctionType) -> None:
        super().__init__('run_function')
        self._function = function

    def run_function(self) -> None:
        """Call the test function with this case."""
        self._function(self)

    def id(self) -> str:
        """Return module and function name."""
        return f'{self._function.__module__}.{self._function.__name__}'

    def __str__(self) -> str:
        """Return module and function name."""
        return self.id()

    def shortDescription(self) -> str | None:  # noqa: N802
        """Return None, so that reports name the test by its id."""
        return None


def load_functions(
    module_globals: dict[str, typing.Any],
) -> unittest.TestSuite:
    """Return a suite of all test functions of a module.

    `module_globals` are its globals; imported functions are left out.
    """
    module = module_globals['__name__']
    return unittest.TestSuite(
        Case(value)
        for name, value in module_globals.items()
        if name.startswith('test_')
        and isinstance(value, types.FunctionType)
        and value.__module__ == module
    )
