"""Histories of concurrent runs, and checkers that find violated promises.

A promise is a guarantee of the product to its callers and operators, such as
that a call is executed at most once. Importing this package registers the
checkers.
"""

from pistachioseam.history import answers
from pistachioseam.history import fleets

__all__ = ('answers', 'fleets')
