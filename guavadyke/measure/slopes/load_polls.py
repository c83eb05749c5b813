"""CPU cost of polling the load of backend servers, by their number."""

from __future__ import annotations

import time

from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.standins.engine import EngineStandin

SIZES = (50, 100, 200, 400)
_LOOPBACK = '127.0.0.1'
_TIMEOUT_S = 5
_US_PER_S = 1_000_000


def poll_us(engines: int, seed: int) -> float:
    """Return the CPU time to poll each engine once, in us.

    One stand-in answers for all engines; its CPU time is not counted.
    """
    standin = EngineStandin(ip=_LOOPBACK)
    standin.start()
    try:
        return _poll_all_us(standin.address, engines)
    finally:
        standin.close()


def _poll_all_us(address: str, engines: int) -> float:
    servers = HttpBackendServers()
    servers.load(address, _TIMEOUT_S)
    before_s = time.thread_time()
    for _ in range(engines):
        servers.load(address, _TIMEOUT_S)
    return (time.thread_time() - before_s) * _US_PER_S
