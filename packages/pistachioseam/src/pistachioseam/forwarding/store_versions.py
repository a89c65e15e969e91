"""Versions of the platform's store, which is restored from copies.

A store that comes back from an older copy has lost its newest rows, and gives
out their versions again. Each time its era rises by one. So versions can be
compared only together with their era.
"""

import attrs


@attrs.frozen(order=True)
class StoreVersion:
    """Version of the store; a later era is newer than any former version."""

    era: int
    number: int


FIRST = StoreVersion(0, 0)
"""Version before all others."""
