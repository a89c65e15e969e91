"""What the end of an attempt proves about the run of its call.

`docs/explanation/promises.md` shows the whole table.
"""

import enum
import types

from pistachioseam import interfaces

Kind = interfaces.FailureKind


class Proof(enum.Enum):
    """Whether a target has run a call, by the end of one attempt."""

    NOT_RUN = 'has not run'
    RUN = 'has run'
    UNKNOWN = 'unknown'


PROOFS = types.MappingProxyType(
    {
        Kind.NOT_SENT: Proof.NOT_RUN,
        Kind.BUSY: Proof.NOT_RUN,
        Kind.WRONG_TARGET: Proof.NOT_RUN,
        Kind.FAILED: Proof.RUN,
        Kind.BROKEN: Proof.UNKNOWN,
        Kind.TIMED_OUT: Proof.UNKNOWN,
        Kind.OUTDATED: Proof.UNKNOWN,
        Kind.PATH_LOST: Proof.UNKNOWN,
        Kind.UNPROVEN: Proof.UNKNOWN,
        Kind.GONE: Proof.UNKNOWN,
    }
)
"""Proof of each way in which an attempt fails."""


def may_have_run(kind: interfaces.FailureKind) -> bool:
    """Return False only if a failure proves that the call has not run."""
    return PROOFS[kind] is not Proof.NOT_RUN
