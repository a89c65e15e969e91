"""Chains of filters that run in a fixed order, for any kind of request."""

from collections import abc
import typing

from returns import pipeline
from returns import result

from pistachioseam import refusals

FilterResult: typing.TypeAlias = result.Result[None, refusals.Refusal]
CONTINUE: FilterResult = result.Success(None)


class FilteredRequest(typing.Protocol):
    """Request state that a filter chain needs."""

    refusal: refusals.Refusal | None

    def add_note(self, name: str, text: str) -> None:
        """Add a text of the filter `name` to the request's journal entry."""

    def can_skip_filters(self) -> bool:
        """Return whether the remaining filters may be skipped."""


RequestT = typing.TypeVar('RequestT', bound=FilteredRequest)
RouterT = typing.TypeVar('RouterT')


class FilterChain(typing.Generic[RequestT, RouterT]):
    """Filters for one type of request, registered by name, run in order."""

    def __init__(self, order: abc.Sequence[str]) -> None:
        self._order = order
        self._filters: dict[
            str,
            abc.Callable[[RequestT, RouterT], abc.Awaitable[FilterResult]],
        ] = {}

    def register(
        self, name: str
    ) -> abc.Callable[
        [abc.Callable[[RequestT, RouterT], abc.Awaitable[FilterResult]]],
        abc.Callable[[RequestT, RouterT], abc.Awaitable[FilterResult]],
    ]:
        """Return a decorator that registers a filter under a name."""

        def add(
            request_filter: abc.Callable[
                [RequestT, RouterT], abc.Awaitable[FilterResult]
            ],
        ) -> abc.Callable[[RequestT, RouterT], abc.Awaitable[FilterResult]]:
            self._filters[name] = request_filter
            return request_filter

        return add

    async def run(self, request: RequestT, router: RouterT) -> None:
        """Run the filters in order; stop at the first refusal or response."""
        for name in self._order:
            filter_result = await self._filters[name](request, router)
            if not pipeline.is_successful(filter_result):
                request.refusal = filter_result.failure()
                request.add_note(name, request.refusal.message)
                return
            if request.can_skip_filters():
                return
