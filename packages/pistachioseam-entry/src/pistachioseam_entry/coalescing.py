"""Timer that combines requests for the same action."""

from collections import abc

from pistachioseam import interfaces


class CoalescingTimer:
    """Timer that runs an action once for all requests during a delay."""

    def __init__(
        self,
        runtime: interfaces.Runtime,
        delay_seconds: float,
        action: abc.Callable[[], None],
    ) -> None:
        self._runtime = runtime
        self._delay_seconds = delay_seconds
        self._action = action
        self._is_scheduled = False

    def schedule(self) -> None:
        """Run the action after the delay, unless it is already scheduled."""
        if not self._is_scheduled:
            self._is_scheduled = True
            self._runtime.start(self._run_later())

    async def _run_later(self) -> None:
        await self._runtime.sleep(self._delay_seconds)
        self._is_scheduled = False
        self._action()
