"""Tests of the entry process; Twisted runs on the asyncio reactor."""

from pistachioseam_entry import reactors

reactors.ensure_reactor()
