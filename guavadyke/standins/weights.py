"""Weight store of the platform stand-in, with one rate over all readers."""

from __future__ import annotations

import dataclasses
import re
import threading
import time

from guavadyke.standins.http import StandinRequest

_PIECE_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class WeightStoreSpec:
    """Size of each model's weights, and the rate of reading over all."""

    model_bytes: int = 10_000_000
    bytes_per_s: float = 1e9


class WeightStore:
    """Sends the weights of any model.

    Args:
        spec: size and rate.
    """

    def __init__(self, spec: WeightStoreSpec) -> None:
        self._spec = spec
        self._lock = threading.Lock()
        self._free_at = time.monotonic()

    def send(
        self,
        request: StandinRequest,
        _match: re.Match[str],
    ) -> None:
        """Send the weights of one model and version; answers itself."""
        write = request.connection.start(
            200,
            {
                'Content-Type': 'application/octet-stream',
                'Content-Length': str(self._spec.model_bytes),
            },
        )
        for first in range(0, self._spec.model_bytes, _PIECE_BYTES):
            size = min(_PIECE_BYTES, self._spec.model_bytes - first)
            self._await_turn(size)
            write(bytes(size))

    def _await_turn(self, size: int) -> None:
        """Wait until so many bytes may be sent."""
        with self._lock:
            start = max(time.monotonic(), self._free_at)
            free_at = start + size / self._spec.bytes_per_s
            self._free_at = free_at
        time.sleep(max(0, free_at - time.monotonic()))
