"""Weight store of the platform stand-in, with a total rate limit."""

from __future__ import annotations

import dataclasses
import re
import threading
import time

from guavadyke.standins.http import StandinRequest

_PIECE_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class WeightStoreSpec:
    """Size of each model's weights, and the rate shared by all readers."""

    model_bytes: int = 10_000_000
    bytes_per_s: float = 1e9


class WeightStore:
    """Serves the weights of any model; all readers share one rate.

    Args:
        spec: size and rate.
    """

    def __init__(self, spec: WeightStoreSpec) -> None:
        self._spec = spec
        self._lock = threading.Lock()
        self._rate_free_at = time.monotonic()

    def send(
        self,
        request: StandinRequest,
        _match: re.Match[str],
    ) -> None:
        """Write the weights of one model version to the connection."""
        write = request.connection.start_answer(
            200,
            {
                'Content-Type': 'application/octet-stream',
                'Content-Length': str(self._spec.model_bytes),
            },
        )
        for first in range(0, self._spec.model_bytes, _PIECE_BYTES):
            size = min(_PIECE_BYTES, self._spec.model_bytes - first)
            self._wait_for_rate(size)
            write(bytes(size))

    def _wait_for_rate(self, size: int) -> None:
        """Wait until ``size`` more bytes may be sent."""
        with self._lock:
            start = max(time.monotonic(), self._rate_free_at)
            free_at = start + size / self._spec.bytes_per_s
            self._rate_free_at = free_at
        time.sleep(max(0, free_at - time.monotonic()))
