"""Settings of the C library's memory allocator."""

import ctypes

M_MMAP_THRESHOLD = -3
"""Parameter of `mallopt` in glibc's `malloc.h`."""
MAPPED_BYTES = 131_072
"""Size from which a block is mapped by itself, glibc's initial value."""


def return_large_blocks() -> bool:
    """Let large blocks go back to the system when they are freed.

    By default glibc raises the threshold to the size of the largest block
    that was freed, up to 32 MiB. Bodies of that size then come from the heap,
    which shrinks only at its end. Return whether the C library supports this.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(set_option(M_MMAP_THRESHOLD, MAPPED_BYTES))
