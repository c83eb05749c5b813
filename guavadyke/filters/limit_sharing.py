"""Shares limits among hosts: asks for grants, and grants as coordinator."""

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

_ASK_S = 0.25
_LEAST_SPACING_S = 0.01


@dataclasses.dataclass(frozen=True)
class _Asked:
    limit: LocalLimit
    at: float


class LimitSharing:
    """Asks coordinators for shares of the limits that requests meet.

    Args:
        tools: platform, peers and the limits of this host.
    """

    def __init__(self, tools: SharingTools) -> None:
        self._tools = tools
        self._coordinator = LimitCoordinator(tools)
        self._sequence = itertools.count(1)
        self._asked: dict[int, _Asked] = {}
        self._urgent = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='limit-sharing',
            daemon=True,
        )

    def start(self) -> None:
        """Ask and grant in the background."""
        self._tools.messenger.subscribe(self._receive)
        self._tools.table.on_starved(self._urgent.set)
        self._coordinator.start()
        self._thread.start()

    def close(self) -> None:
        """Stop asking and granting."""
        self._stopped.set()
        self._urgent.set()
        self._coordinator.close()

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._urgent.wait(_ASK_S)
            self._urgent.clear()
            self._ask()
            self._stopped.wait(_LEAST_SPACING_S)

    def _ask(self) -> None:
        now = self._tools.clock.monotonic()
        self._forget(now)
        by_host: dict[str, list[LimitDemand]] = collections.defaultdict(list)
        for limit in self._tools.table.active():
            host_id = self._coordinator.host_of(limit.spec.name)
            sequence = next(self._sequence)
            self._asked[sequence] = _Asked(limit, now)
            by_host[host_id].append(
                LimitDemand(
                    limit_name=limit.spec.name,
                    demand=self._tools.table.demand(limit),
                    sequence=sequence,
                    in_use=max(0, limit.in_use - limit.share.floor),
                ),
            )
        for host_id, demands in by_host.items():
            self._send(host_id, tuple(demands))

    def _send(self, host_id: str, demands: tuple[LimitDemand, ...]) -> None:
        own = self._tools.settings.host_id
        if host_id == own:
            self._granted(self._coordinator.grants(own, demands))
        else:
            notice = PeerNotice(demands=demands)
            self._tools.messenger.send(host_id, notice)

    def _receive(self, host_id: str, notice: PeerNotice) -> None:
        self._granted(notice.grants)
        if not notice.demands:
            return
        grants = self._coordinator.grants(host_id, notice.demands)
        if grants:
            self._tools.messenger.send(host_id, PeerNotice(grants=grants))

    def _granted(self, grants: tuple[LimitGrant, ...]) -> None:
        for grant in grants:
            asked = self._asked.pop(grant.sequence, None)
            if asked is None or asked.limit.spec.name != grant.limit_name:
                continue
            until = asked.at + min(GRANT_S, grant.valid_s)
            self._tools.table.grant(asked.limit, grant.share, until)

    def _forget(self, now: float) -> None:
        self._asked = {
            sequence: asked
            for sequence, asked in self._asked.items()
            if now - asked.at < GRANT_S
        }
