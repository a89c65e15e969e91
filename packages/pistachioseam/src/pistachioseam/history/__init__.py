"""Histories of concurrent runs and a checker for each promise."""

from pistachioseam.history import answers
from pistachioseam.history import fleets

__all__ = ('answers', 'fleets')
