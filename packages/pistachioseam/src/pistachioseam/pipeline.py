"""Ordered filters that every request passes, one registry an interface."""

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
CONTINUE: FilterResult = result.Success(None)


class Passage(typing.Protocol):
    """What a request on its way through the filters must tell."""

    refusal: refusals.Refusal | None

    def add_note(self, name: str, text: str) -> None:
        """Keep what a filter found."""

    def is_answered(self) -> bool:
        """Tell whether the filters that are left may be skipped."""


PassageT = typing.TypeVar('PassageT', bound=Passage)
RouterT = typing.TypeVar('RouterT')


class Filters(typing.Generic[PassageT, RouterT]):
    """Registry of the filters of one interface, run in a fixed order."""

    def __init__(self, order: abc.Sequence[str]) -> None:
        self._order = order
        self._steps: dict[
            str,
            abc.Callable[[PassageT, RouterT], abc.Awaitable[FilterResult]],
        ] = {}

    def register(
        self, name: str
    ) -> abc.Callable[
        [abc.Callable[[PassageT, RouterT], abc.Awaitable[FilterResult]]],
        abc.Callable[[PassageT, RouterT], abc.Awaitable[FilterResult]],
    ]:
        """Return a decorator that registers a filter under a name."""

        def add(
            step: abc.Callable[
                [PassageT, RouterT], abc.Awaitable[FilterResult]
            ],
        ) -> abc.Callable[[PassageT, RouterT], abc.Awaitable[FilterResult]]:
            self._steps[name] = step
            return step

        return add

    async def run(self, exchange: PassageT, router: RouterT) -> None:
        """Pass a request through all filters; set answer or refusal."""
        for name in self._order:
            passed = await self._steps[name](exchange, router)
            if not pipeline.is_successful(passed):
                exchange.refusal = passed.failure()
                exchange.add_note(name, exchange.refusal.message)
                return
            if exchange.is_answered():
                return


_requests: Filters[exchanges.Exchange, routers.Router] = Filters(REQUEST_ORDER)
register = _requests.register
run_filters = _requests.run
