"""Requests shares of limits from coordinators, and answers such requests."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import threading

from guavadyke.adapters.ports import (
    LimitDemand,
    LimitGrant,
    PeerNotice,
)
from guavadyke.decisions.limit_grants import GRANT_S
from guavadyke.decisions.limits import LocalLimit
from guavadyke.filters.limit_coordinator import LimitCoordinator, SharingTools
from guavadyke.guarded_threads import GuardedThread

_REQUEST_INTERVAL_S = 0.25
_MIN_PAUSE_S = 0.01


@dataclasses.dataclass(frozen=True)
class _GrantRequest:
    limit: LocalLimit
    at: float


class LimitSharing:
    """Exchanges demands and grants of limits with other hosts.

    Args:
        tools: platform storage, peers and the limits of this host.
    """

    def __init__(self, tools: SharingTools) -> None:
        self._tools = tools
        self._coordinator = LimitCoordinator(tools)
        self._sequence = itertools.count(1)
        self._open_requests: dict[int, _GrantRequest] = {}
        self._wake = threading.Event()
        self._stopped = threading.Event()
        self._thread = GuardedThread(self._run, 'limit-sharing', self._stopped)

    def start(self) -> None:
        """Start requesting and granting shares in the background."""
        self._tools.messenger.subscribe(self._receive)
        self._tools.table.set_grant_needed_callback(self._wake.set)
        self._coordinator.start()
        self._thread.start()

    def close(self) -> None:
        """Stop requesting and granting shares."""
        self._stopped.set()
        self._wake.set()
        self._coordinator.close()

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._wake.wait(_REQUEST_INTERVAL_S)
            self._wake.clear()
            self._request_grants()
            self._stopped.wait(_MIN_PAUSE_S)

    def _request_grants(self) -> None:
        now = self._tools.clock.monotonic()
        self._drop_expired_requests(now)
        by_host: dict[str, list[LimitDemand]] = collections.defaultdict(list)
        for limit in self._tools.table.active():
            host_id = self._coordinator.coordinator_of(limit.spec.name)
            sequence = next(self._sequence)
            self._open_requests[sequence] = _GrantRequest(limit, now)
            by_host[host_id].append(
                LimitDemand(
                    limit_name=limit.spec.name,
                    demand=self._tools.table.demand(limit),
                    sequence=sequence,
                    in_use=max(0, limit.in_use - limit.share.floor),
                ),
            )
        for host_id, demands in by_host.items():
            self._send_demands(host_id, tuple(demands))

    def _send_demands(
        self,
        host_id: str,
        demands: tuple[LimitDemand, ...],
    ) -> None:
        own_id = self._tools.settings.host_id
        if host_id == own_id:
            self._apply_grants(self._coordinator.grants(own_id, demands))
        else:
            notice = PeerNotice(demands=demands)
            self._tools.messenger.send(host_id, notice)

    def _receive(self, host_id: str, notice: PeerNotice) -> None:
        self._apply_grants(notice.grants)
        if not notice.demands:
            return
        grants = self._coordinator.grants(host_id, notice.demands)
        if grants:
            self._tools.messenger.send(host_id, PeerNotice(grants=grants))

    def _apply_grants(self, grants: tuple[LimitGrant, ...]) -> None:
        for grant in grants:
            request = self._open_requests.pop(grant.sequence, None)
            if request is None or request.limit.spec.name != grant.limit_name:
                continue
            until = request.at + min(GRANT_S, grant.valid_s)
            self._tools.table.grant(request.limit, grant.share, until)

    def _drop_expired_requests(self, now: float) -> None:
        self._open_requests = {
            sequence: request
            for sequence, request in self._open_requests.items()
            if now - request.at < GRANT_S
        }
