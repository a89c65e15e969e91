"""Run all tests, or those whose id contains an argument."""

import os
import pathlib
import sys
import typing
import unittest

import hypothesis

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
DEFAULT_EXAMPLES = 50


def read_known_red() -> frozenset[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists as failing."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.removeprefix('test: ').strip()
        for line in lines
        if line.startswith('test: ')
    )


def select(
    suite: unittest.TestSuite, patterns: typing.Sequence[str]
) -> typing.Iterator[unittest.TestCase]:
    """Yield the tests whose id contains a pattern, or all if there is none."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from select(test, patterns)
        elif not patterns or any(pattern in test.id() for pattern in patterns):
            yield test


def main() -> int:
    """Run the tests; return 1 if none ran or an unlisted test failed."""
    # `fixed` draws the same examples in each run, `more` new ones.
    hypothesis.settings.register_profile(
        'fixed',
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=int(os.environ.get('EXAMPLES', DEFAULT_EXAMPLES)),
    )
    hypothesis.settings.register_profile(
        'more',
        database=None,
        deadline=None,
        max_examples=int(os.environ.get('EXAMPLES', DEFAULT_EXAMPLES)),
    )
    hypothesis.settings.load_profile(os.environ.get('SEEDS', 'fixed'))
    loader = unittest.TestLoader()
    found = loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))
    suite = unittest.TestSuite(select(found, sys.argv[1:]))
    ran = unittest.TextTestRunner(verbosity=2).run(suite)
    failed = {test.id() for test, _ in (*ran.failures, *ran.errors)}
    known = failed & read_known_red()
    for name in sorted(known):
        print(f'known red: {name}')
    passed = ran.testsRun - len(failed)
    sys.stdout.flush()
    sys.stderr.flush()
    print(f'{passed} passed, {len(failed - known)} failed')
    return 1 if failed - known or not ran.testsRun else 0


if __name__ == '__main__':
    sys.exit(main())
