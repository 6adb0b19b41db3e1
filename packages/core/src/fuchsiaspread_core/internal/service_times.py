"""Estimates of how long requests hold a slot, from the latest ones that ended."""

from collections import deque

WINDOW_SAMPLES = 128
REFRESH_SAMPLES = 8
# Exponentially distributed work exceeds ten medians once in a thousand requests.
LONG_FACTOR = 10
# A shorter request never counts as long: handshakes and timer ticks alone take tens of ms.
LONG_FLOOR_MS = 50
TAIL_QUANTILE = 0.98
# The estimate until the first requests have ended.
ASSUMED_SERVICE_MS = 100.0


class ServiceTimes:
    """Estimate median, mean and tail of short requests and the mean of long ones.

    Units: milliseconds.
    """

    def __init__(self) -> None:
        self._samples: deque[int] = deque(maxlen=WINDOW_SAMPLES)
        self._since_refresh = 0
        self.long_threshold_ms: float = LONG_FACTOR * ASSUMED_SERVICE_MS
        self.short_mean_ms = ASSUMED_SERVICE_MS
        self.short_tail_ms = ASSUMED_SERVICE_MS
        self.long_mean_ms = LONG_FACTOR * ASSUMED_SERVICE_MS

    def is_long(self, service_ms: int) -> bool:
        """Return whether a request with this service time counts as long."""
        return service_ms > self.long_threshold_ms

    def observe(self, service_ms: int) -> None:
        """Record the service time of a request that ended."""
        self._samples.append(service_ms)
        self._since_refresh += 1
        if self._since_refresh >= min(REFRESH_SAMPLES, len(self._samples)):
            self._since_refresh = 0
            self._refresh()

    def _refresh(self) -> None:
        ordered = sorted(self._samples)
        # The median covers short and long requests. With short ones alone, each request that is
        # classified as long would lower the threshold further.
        median = ordered[len(ordered) // 2]
        self.long_threshold_ms = max(LONG_FLOOR_MS, LONG_FACTOR * median)
        short = [sample for sample in ordered if sample <= self.long_threshold_ms]
        self.short_mean_ms = sum(short) / len(short)
        self.short_tail_ms = float(short[int(TAIL_QUANTILE * (len(short) - 1))])
        long = ordered[len(short) :]
        if long:
            self.long_mean_ms = sum(long) / len(long)
        self.long_mean_ms = max(self.long_mean_ms, self.long_threshold_ms)
