"""Keeps the allowances of teams, over all hosts."""

from __future__ import annotations

import collections
import dataclasses
import random
import threading

from guavadyke.adapters.ports import Clock, PeerMessenger, PeerNotice
from guavadyke.controllers.allowance_reports import AllowanceReports
from guavadyke.decisions.allowance_issuers import (
    FleetShare,
    IssuerContacts,
    IssuerRanking,
)
from guavadyke.decisions.allowance_stock import (
    AllowanceStock,
    Denial,
    Grant,
    LocalAllowances,
)
from guavadyke.decisions.forward_routes import RouteTable
from guavadyke.decisions.team_allowances import (
    AllowanceIssuer,
    AllowancePermit,
    AllowanceRequest,
    IssuerRole,
    latest_limit,
)
from guavadyke.decisions.teams import Team
from guavadyke.guarded_threads import GuardedThread
from guavadyke.settings import ForwardHostSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

# Time in which an issuer has to answer. Between zones an answer takes a few
# milliseconds; callers wait for it.
_ANSWER_S = 0.05
# Part of that time after which the request is sent again, since one of the two
# datagrams may have been lost.
_REPEAT_SHARE = 0.5
# Far less than the 2 s of idle time that count for a suspended host.
_TICK_S = 0.25
_UNLIMITED = Grant(0)


@dataclasses.dataclass(frozen=True)
class AllowanceParts:
    """What the allowances of a host are made of.

    ``fleet`` holds the other hosts, ``table`` the configuration in force;
    ``messenger`` carries requests for permits and their answers; ``rng``
    draws the first levels of local buckets; ``answer_s`` is the time in
    seconds in which an issuer has to answer.
    """

    settings: ForwardHostSettings
    fleet: SnapshotCell[FleetSnapshot]
    table: SnapshotCell[RouteTable]
    messenger: PeerMessenger
    clock: Clock
    rng: random.Random
    reports: AllowanceReports
    answer_s: float = _ANSWER_S


class TeamAllowances:
    """Decides whether requests of teams with a limit may run. Thread-safe.

    One host issues the permits of a team. If it does not answer, the next
    one is asked, and if that one does not answer either, a bucket of this
    host decides.
    """

    def __init__(self, parts: AllowanceParts) -> None:
        self._parts = parts
        self._host_id = parts.settings.host_id
        self._changed = threading.Condition()
        self._issuer = AllowanceIssuer(parts.clock.monotonic())
        self._stock = AllowanceStock()
        self._local = LocalAllowances(parts.rng)
        self._share = FleetShare(parts.settings.zones)
        self._ranking = IssuerRanking(self._host_id)
        self._contacts = IssuerContacts()
        self._stopped = threading.Event()
        self._thread = GuardedThread(
            self._run, 'team-allowances', self._stopped
        )
        self._observe_fleet()

    def start(self) -> None:
        """Start to issue permits."""
        self._parts.messenger.subscribe(self.receive)
        self._thread.start()

    def close(self) -> None:
        """Stop; does not wait for the thread."""
        self._stopped.set()

    def take(self, team: Team) -> Grant | Denial:
        """Take a permit for one request of a team.

        Waits for up to twice the time in which an issuer has to answer. A
        team without a limit needs no permit.
        """
        table = self._parts.table.current
        team = table.teams.teams.get(team.name, team)
        if not team.limited:
            return _UNLIMITED
        limit = AllowanceRequest(
            team.name, team.requests_per_s, team.burst, table.version
        )
        now = self._parts.clock.monotonic()
        verdict = self._take_of_issuer(limit) or self._take_locally(limit)
        if isinstance(verdict, Denial):
            self._parts.reports.refused(team.name, verdict, now)
        return verdict

    def give_back(self, team: Team, grant: Grant) -> None:
        """Take back the permit of a request that surely did not run."""
        if grant is _UNLIMITED:
            return
        with self._changed:
            self._stock.give_back(team.name, grant)

    def receive(self, host_id: str, notice: PeerNotice) -> None:
        """Answer another host's requests, and take its permits."""
        if not notice.allowance_requests and not notice.allowance_permits:
            return
        with self._changed:
            now = self._parts.clock.monotonic()
            answers = tuple(
                self._issue(request, host_id, now)
                for request in notice.allowance_requests
            )
            for permit in notice.allowance_permits:
                self._stock.add(permit, now)
                self._contacts.answered(host_id, now)
            self._changed.notify_all()
        if answers:
            self._parts.messenger.send(
                host_id, PeerNotice(allowance_permits=answers)
            )

    def tick(self) -> None:
        """Notice changes of the fleet and forget unused teams."""
        now = self._parts.clock.monotonic()
        with self._changed:
            self._observe_fleet()
            self._issuer.tick(now)
            self._issuer.remove_unused()
            self._stock.remove_unused(now)
            self._local.remove_unused(now)
        self._parts.reports.tick(now)

    def _run(self) -> None:
        while not self._stopped.wait(_TICK_S):
            self.tick()

    def _take_of_issuer(self, limit: AllowanceRequest) -> Grant | Denial | None:
        """Take a permit of the issuer or its substitute."""
        with self._changed:
            now = self._parts.clock.monotonic()
            self._stock.count_request(limit.team, now)
            verdict = self._stock.verdict(limit.team, now)
        if verdict is None:
            verdict = self._ask_issuers(limit)
        if isinstance(verdict, Grant):
            with self._changed:
                self._local.charge(limit, self._share.most_hosts, now)
        return verdict

    def _ask_issuers(self, limit: AllowanceRequest) -> Grant | Denial | None:
        """Ask the issuer, then its substitute."""
        with self._changed:
            candidates = self._ranking.candidates(limit.team)
        for issuer in candidates:
            if self._contacts.skips(issuer, self._parts.clock.monotonic()):
                continue
            if issuer == self._host_id:
                return self._issue_own(limit)
            verdict = self._ask(issuer, limit)
            if verdict is not None:
                return verdict
            self._parts.reports.unanswered(limit.team, issuer)
            with self._changed:
                now = self._parts.clock.monotonic()
                skipped = self._contacts.unanswered(issuer, now)
            if not skipped:
                break
        return None

    def _take_locally(self, limit: AllowanceRequest) -> Grant | Denial:
        now = self._parts.clock.monotonic()
        self._parts.reports.decided_locally(limit.team, now)
        with self._changed:
            return self._local.take(limit, self._share.most_hosts, now)

    def _issue_own(self, limit: AllowanceRequest) -> Grant | Denial | None:
        with self._changed:
            now = self._parts.clock.monotonic()
            request = self._stock.ask(limit, now)
            self._stock.add(self._issue(request, self._host_id, now), now)
            return self._stock.verdict(limit.team, now)

    def _ask(
        self, issuer: str, limit: AllowanceRequest
    ) -> Grant | Denial | None:
        """Ask an issuer; return None if it does not answer."""
        with self._changed:
            request = self._stock.ask(limit, self._parts.clock.monotonic())
        answer_s = self._parts.answer_s
        repeat_s = _REPEAT_SHARE * answer_s
        for timeout_s in (repeat_s, answer_s - repeat_s):
            self._parts.messenger.send(
                issuer, PeerNotice(allowance_requests=(request,))
            )
            verdict = self._await_verdict(limit.team, timeout_s)
            if verdict is not None:
                return verdict
        return None

    def _await_verdict(
        self, team: str, timeout_s: float
    ) -> Grant | Denial | None:
        with self._changed:
            return self._changed.wait_for(
                lambda: self._stock.verdict(
                    team, self._parts.clock.monotonic()
                ),
                timeout_s,
            )

    def _issue(
        self, request: AllowanceRequest, host_id: str, now: float
    ) -> AllowancePermit:
        self._observe_fleet()
        table = self._parts.table.current
        permit = self._issuer.issue(
            latest_limit(
                request, table.teams.teams.get(request.team), table.version
            ),
            host_id,
            IssuerRole(
                self._share.share,
                len(self._parts.fleet.current.alive) + 1,
                substitute=not self._ranking.is_issuer(request.team),
            ),
            now,
        )
        self._parts.reports.issued(permit.count)
        return permit

    def _observe_fleet(self) -> None:
        peers = self._parts.fleet.current.alive
        zones = collections.Counter(peer.zone for peer in peers)
        zones[self._parts.settings.zone] += 1
        self._share.observe(zones, self._parts.clock.monotonic())
        hosts = frozenset(peer.host_id for peer in peers)
        if self._ranking.update(hosts | {self._host_id}):
            self._issuer.hosts_changed(self._ranking)
            self._contacts.keep_only(hosts)
