"""Placement of requests on targets: prefixes, evidence, load and policies."""
