"""Clock and boot number of the daemon."""

import time

NANOSECONDS_PER_MS = 1_000_000


def now_ms() -> int:
    """Return a monotonic time in milliseconds that includes suspensions of the VM.

    CLOCK_MONOTONIC stops during a suspension, so the core could not detect it.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MS


def boot_number() -> int:
    """Return a number that increases with each restart of an entry VM of the same name."""
    return time.time_ns()
