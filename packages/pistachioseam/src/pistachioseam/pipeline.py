"""Order of the filters that every request passes."""

from collections import abc
import typing

from returns import pipeline
from returns import result

from pistachioseam import exchanges
from pistachioseam import refusals
from pistachioseam import router as routers

REQUEST_ORDER = (
    'identify',
    'match',
    'approve',
    'admit',
    'claim',
    'serve',
)
"""`serve` repeats `place`, `send` and `relay` while a retry is safe."""

FilterResult: typing.TypeAlias = result.Result[None, refusals.Refusal]


class Filter(typing.Protocol):
    """One step of the request path; a failure ends the request."""

    async def __call__(
        self, exchange: exchanges.Exchange, router: routers.Router
    ) -> FilterResult:
        """Pass the request on, or refuse it."""


REGISTRY: dict[str, Filter] = {}
CONTINUE: FilterResult = result.Success(None)


def register(name: str) -> abc.Callable[[Filter], Filter]:
    """Return a decorator that registers a filter under a name."""

    def add(step: Filter) -> Filter:
        REGISTRY[name] = step
        return step

    return add


async def run_filters(
    exchange: exchanges.Exchange, router: routers.Router
) -> None:
    """Pass a request through all filters; set answer or refusal."""
    for name in REQUEST_ORDER:
        passed = await REGISTRY[name](exchange, router)
        if not pipeline.is_successful(passed):
            exchange.refusal = passed.failure()
            exchange.add_note(name, exchange.refusal.message)
            return
        if exchange.answer is not None:
            return
