"""Clock of the platform's store, mapped to this host's boot clock.

A response of the store states its newest version and the time of its clock.
It was given between the send of the request and the receipt, which bounds the
offset between the clocks. Times are in seconds.
"""

import collections

import attrs

from pistachioseam.forwarding import store_versions

MAX_DRIFT = 0.001
"""Largest relative difference between the rates of the two clocks."""
RESOLUTION_SECONDS = 0.001
"""Resolution of the store's clock."""
MAX_OBSERVATIONS = 256
"""Number of responses that are kept."""


@attrs.frozen
class StoreTime:
    """Time of the store's clock in one era of the store."""

    era: int
    seconds: float


@attrs.frozen
class Observation:
    """Version of the store at a time of its clock."""

    version: store_versions.StoreVersion
    store_seconds: float


class StoreClock:
    """Offset from the store's clock to the boot clock, within bounds.

    It holds for one era of the store; a later era replaces it.
    """

    def __init__(self) -> None:
        self._era = 0
        self._discard()

    def _discard(self) -> None:
        self._observations: collections.deque[Observation] = collections.deque(
            maxlen=MAX_OBSERVATIONS
        )
        self._least_offset = float('-inf')
        self._greatest_offset = float('inf')
        self._received_at = 0.0

    def record(
        self,
        version: store_versions.StoreVersion,
        store_seconds: float | None,
        sent_at: float,
        received_at: float,
    ) -> None:
        """Record a response; one without a time or of a former era is none.

        Former responses are discarded if the store's clock was set since.
        """
        if store_seconds is None or version.era < self._era:
            return
        if version.era > self._era:
            self._era = version.era
            self._discard()
        least = sent_at - store_seconds - RESOLUTION_SECONDS
        greatest = received_at - store_seconds + RESOLUTION_SECONDS
        drift_seconds = MAX_DRIFT * max(0.0, received_at - self._received_at)
        former_least = self._least_offset - drift_seconds
        former_greatest = self._greatest_offset + drift_seconds
        if max(least, former_least) > min(greatest, former_greatest):
            self._discard()
            former_least, former_greatest = least, greatest
        self._least_offset = max(least, former_least)
        self._greatest_offset = min(greatest, former_greatest)
        self._received_at = received_at
        self._observations.append(Observation(version, store_seconds))

    def find_time_before(
        self, version: store_versions.StoreVersion
    ) -> StoreTime | None:
        """Return a time at which the store had not reached a version.

        It is the last one that the responses prove, None if they prove none.
        """
        if version.era != self._era:
            return None
        seconds = max(
            (
                observation.store_seconds
                for observation in self._observations
                if observation.version < version
            ),
            default=None,
        )
        return None if seconds is None else StoreTime(version.era, seconds)

    def find_boot_time(self, time: StoreTime) -> float | None:
        """Return a boot time that is not after a time of the store.

        None in another era, and before the first response.
        """
        if time.era != self._era or not self._observations:
            return None
        boot_time = time.seconds + self._least_offset
        return boot_time - MAX_DRIFT * abs(self._received_at - boot_time)
