"""Notes of filters about a request."""

import attrs


@attrs.frozen
class Note:
    """Text that one filter adds to a request, shown by `/explain`."""

    filter: str
    text: str
