"""Permits to send requests to servers that limit the requests of all hosts.

One host issues the permits of a server, so that the limit holds over the
whole fleet. Servers without a limit need none.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Mapping

# Time in which a permit may be used. What is not used by then is lost.
_VALID_S = 1.0
# Permits that may pile up, as some time's worth.
_BURST_S = 1.5
# Hosts that wait for a permit return more often than there are permits, since
# some have no request by then. It bounds the requests for permits.
_REQUESTS_PER_PERMIT = 4
_MIN_BURST = 2.0
# Even a server that takes no requests gets one now and then, whose answer
# tells whether the limit still holds.
_MIN_PER_S = 0.2
_LONGEST_WAIT_S = 30.0
_UNUSED_S = 60.0


@dataclasses.dataclass(frozen=True)
class PermitRequest:
    """A host asks to send one request to a server.

    ``limit_per_s`` is the limit that the server has named, as the host knows
    it. ``batch`` tells a batch item from an online request.
    """

    server_id: str
    limit_per_s: float
    batch: bool = False


@dataclasses.dataclass(frozen=True)
class Permit:
    """The answer: one request within ``valid_s``, or none for ``wait_s``."""

    server_id: str
    batch: bool = False
    valid_s: float = 0
    wait_s: float = 0


class _Account:
    """The permits of one server that have not been issued."""

    def __init__(self, now: float) -> None:
        self.updated_at = now
        self._available: float = 0
        # Until when a host waits, with an online request or a batch item.
        self._waiting: dict[tuple[str, bool], float] = {}

    def issue(self, request: PermitRequest, host_id: str, now: float) -> Permit:
        """Issue a permit, or tell when there may be one.

        Hosts that wait are told times after one another. Batch items get
        none of the second half of what may pile up, which is for online
        requests.
        """
        rate_per_s = max(_MIN_PER_S, request.limit_per_s)
        burst = max(_MIN_BURST, rate_per_s * _BURST_S)
        self._refill(rate_per_s, burst, now)
        self._waiting = {
            waiting: until
            for waiting, until in self._waiting.items()
            if until > now and waiting != (host_id, request.batch)
        }
        kept = burst / 2 if request.batch else 0
        missing = 1 + kept - self._available
        if missing <= 0:
            self._available -= 1
            return Permit(request.server_id, request.batch, valid_s=_VALID_S)
        before = len(self._waiting) / _REQUESTS_PER_PERMIT
        wait_s = min(_LONGEST_WAIT_S, max(1, missing + before) / rate_per_s)
        self._waiting[host_id, request.batch] = now + wait_s
        return Permit(request.server_id, request.batch, wait_s=wait_s)

    def _refill(self, rate_per_s: float, burst: float, now: float) -> None:
        gained = rate_per_s * (now - self.updated_at)
        self._available = min(burst, self._available + gained)
        self.updated_at = now


class PermitIssuer:
    """Issues the permits of servers to all hosts. Not safe for threads.

    All times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}

    def issue(self, request: PermitRequest, host_id: str, now: float) -> Permit:
        """Answer a request of a host.

        A server's first permit comes only after the time that its limit
        takes, as another host may have issued permits before.
        """
        if request.server_id not in self._accounts:
            self._accounts = {
                server_id: account
                for server_id, account in self._accounts.items()
                if now - account.updated_at < _UNUSED_S
            }
            self._accounts[request.server_id] = _Account(now)
        return self._accounts[request.server_id].issue(request, host_id, now)


class PermitStock:
    """Permits that a host has got. Not safe for threads.

    All times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self._valid_until: dict[tuple[str, bool], collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self._closed_until: dict[tuple[str, bool], float] = {}

    def add(self, permit: Permit, now: float) -> None:
        """Add a permit, or close the server until the next may be asked for."""
        key = (permit.server_id, permit.batch)
        if permit.valid_s:
            self._valid_until[key].append(now + permit.valid_s)
            self._closed_until.pop(key, None)
            return
        closed = {
            other: until
            for other, until in self._closed_until.items()
            if until > now
        }
        self._closed_until = {**closed, key: now + permit.wait_s}

    def take(self, server_id: str, now: float, *, batch: bool) -> bool:
        """Use a valid permit of a server; return whether there was one."""
        permits = self._valid_until[server_id, batch]
        while permits:
            if permits.popleft() > now:
                return True
        return False

    def drop(self, server_id: str) -> None:
        """Forget a server that has no limit any more."""
        for batch in (False, True):
            self._valid_until.pop((server_id, batch), None)
            self._closed_until.pop((server_id, batch), None)

    def closed(self, now: float, *, batch: bool) -> Mapping[str, float]:
        """Return for how long not to ask, by the ids of closed servers."""
        return {
            server_id: until - now
            for (server_id, for_batch), until in self._closed_until.items()
            if for_batch == batch and until > now
        }
