"""Planned stop: the entry VM goes on forwarding until the fabric sends it no packets."""

# The fabric probes the readiness every half second and removes this VM after two failed probes.
MIN_DRAIN_MS = 1_600
# Longer than the 400 ms between the second and the third transmission of an open.
QUIET_MS = 600
# Time that the tasks of the process need to end.
END_MARGIN_MS = 2_500


class StopDrain:
    """Decide when a stopping entry VM may end.

    The fabric goes on using a VM that is not ready while fewer than half of the VMs of its zone are
    ready, for example when two of three are restarted in turn.
    """

    def __init__(self, grace_ms: int) -> None:
        self._limit_ms = max(0, grace_ms - END_MARGIN_MS)
        self._started_ms: int | None = None
        self._packet_ms = 0

    @property
    def is_draining(self) -> bool:
        """Return whether a stop was requested."""
        return self._started_ms is not None

    def start(self, now_ms: int) -> None:
        """Start the stop; a repeated request does not extend it."""
        if self._started_ms is None:
            self._started_ms = self._packet_ms = now_ms

    def record_packet(self, now_ms: int) -> None:
        """Record that the fabric still sends packets here."""
        self._packet_ms = now_ms

    def is_over(self, now_ms: int) -> bool:
        """Return whether the VM may end: no packets come any more, or the grace period ends."""
        if self._started_ms is None:
            return False
        drained_ms = now_ms - self._started_ms
        is_quiet = now_ms - self._packet_ms >= QUIET_MS
        return drained_ms >= self._limit_ms or (drained_ms >= MIN_DRAIN_MS and is_quiet)
