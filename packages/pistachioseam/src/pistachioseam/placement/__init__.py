"""Placement of requests on the targets of the `pools` table.

A target is chosen by the prompt pieces in its KV cache and by its load.
"""
