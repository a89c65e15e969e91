"""Request filters; importing this package registers them."""

from pistachioseam.filters import admit
from pistachioseam.filters import approve
from pistachioseam.filters import claim
from pistachioseam.filters import identify
from pistachioseam.filters import match
from pistachioseam.filters import serve

__all__ = ('admit', 'approve', 'claim', 'identify', 'match', 'serve')
