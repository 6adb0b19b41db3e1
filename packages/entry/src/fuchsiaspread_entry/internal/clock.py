"""The clock of the daemon."""

import time

NANOSECONDS_PER_MS = 1_000_000


def now_ms() -> int:
    """Return milliseconds that also pass while the VM is suspended.

    The monotonic clock stands still during a suspension, which would hide it from the core.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MS


def boot_number() -> int:
    """Return a number that is greater after each restart of an entry VM of the same name."""
    return time.time_ns()
