"""Calls that are forwarded unchanged to targets that list themselves."""
