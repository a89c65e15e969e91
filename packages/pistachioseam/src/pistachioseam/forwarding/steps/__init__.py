"""Filters of forwarded calls; importing this package registers them."""

from pistachioseam.forwarding.steps import authenticate
from pistachioseam.forwarding.steps import forward
from pistachioseam.forwarding.steps import inform
from pistachioseam.forwarding.steps import match
from pistachioseam.forwarding.steps import resume

__all__ = ('authenticate', 'forward', 'inform', 'match', 'resume')
