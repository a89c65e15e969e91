"""Tests, mirroring the source tree; twisted runs on the asyncio reactor."""

from pistachioseam_entry import reactors

reactors.ensure_reactor()
