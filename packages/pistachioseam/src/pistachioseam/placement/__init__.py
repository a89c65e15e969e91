"""Placement of requests on the targets of the product's own tables.

A target is chosen by the prompt pieces in its KV cache and by its load.
"""
