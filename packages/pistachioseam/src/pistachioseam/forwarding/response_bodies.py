"""Bodies of responses that are not event streams."""

from returns import pipeline as returns_pipeline
from returns import result

from pistachioseam.forwarding import ports
from pistachioseam import interfaces
from pistachioseam import response_budgets


def get_max_held_bytes(response: ports.OpenResponse) -> int:
    """Return how much of a body may be held until it is complete."""
    if response.declared_bytes is None:
        return response_budgets.MAX_UNDECLARED_BYTES
    return response_budgets.MAX_HELD_BYTES


async def hold_body(
    response: ports.OpenResponse, held: response_budgets.HeldParts
) -> result.Result[bool, interfaces.CallFailure]:
    """Hold a body until it is complete, or until no more may be held.

    Return whether it is complete. One that breaks before is released.
    """
    max_bytes = get_max_held_bytes(response)
    while not held.is_full(max_bytes):
        read = await response.read()
        if not returns_pipeline.is_successful(read):
            held.clear()
            return result.Failure(read.failure())
        if not read.unwrap():
            return result.Success(True)
        held.add(read.unwrap())
    return result.Success(False)


async def read_body(
    response: ports.OpenResponse,
) -> result.Result[bytes, interfaces.CallFailure]:
    """Return the whole body, or a failure if it is larger than accepted."""
    limit = get_max_held_bytes(response)
    parts: list[bytes] = []
    size = 0
    while True:
        read = await response.read()
        if not returns_pipeline.is_successful(read):
            return read
        data = read.unwrap()
        if not data:
            return result.Success(b''.join(parts))
        parts.append(data)
        size += len(data)
        if max(size, response.declared_bytes or 0) > limit:
            failure = interfaces.CallFailure(
                interfaces.FailureKind.BROKEN,
                'response body too large',
                is_given_up=True,
            )
            return result.Failure(failure)
