"""Calls that their callers send again while they are in progress."""

from collections import abc
import contextlib

from pistachioseam.forwarding import calls


class CallsInProgress:
    """Calls in progress on this host that may run only once.

    They are known by account and request id; calls without an id are not
    held.
    """

    def __init__(self) -> None:
        self._keys: set[tuple[str, str]] = set()

    def __len__(self) -> int:
        """Return the number of calls."""
        return len(self._keys)

    @contextlib.contextmanager
    def hold(self, call: calls.Call) -> abc.Iterator[bool]:
        """Hold a call; yield whether no other one is held under its id."""
        key = (call.get_account_name(), call.request_id)
        if call.is_retryable() or not call.request_id:
            yield True
        elif key in self._keys:
            yield False
        else:
            self._keys.add(key)
            try:
                yield True
            finally:
                self._keys.remove(key)

    def is_held(self, account_name: str, request_id: str) -> bool:
        """Return whether a call of an account is held under an id."""
        return (account_name, request_id) in self._keys
