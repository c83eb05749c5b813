"""Keeps requests that would crash backend servers from being sent."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Iterable, Sequence

from guavadyke.adapters.ports import Clock
from guavadyke.controllers.prompt_trials import PromptTrials
from guavadyke.decisions import rendezvous_hashing
from guavadyke.decisions.prompt_quarantine import (
    MIN_CRASHES,
    PromptQuarantine,
    Quarantine,
)
from guavadyke.decisions.prompt_reports import PromptReport, ReportQueue
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

# A host that trusts a part which another one suspects says so after its rank
# among the hosts times this, unless one before it has.
_ANSWER_SPACING_S = 0.05
_LONGEST_ANSWER_S = 2.0
# Servers that seem to end within this time at one host, under requests that it
# had sent before, have not ended: the host has lost its connections.
_SETTLE_S = 0.025
# A server that has written an answer for this time does not end because of its
# prompt.
_PROOF_S = 1.0
_PROOF_INTERVAL_S = 10.0


@dataclasses.dataclass(frozen=True)
class _Break:
    """An answer to a request of ``began_at`` that broke off."""

    at: float
    began_at: float
    incarnation: str
    parts: tuple[str, ...]


class PromptGuard:
    """Knows the quarantined requests, from all hosts. Thread-safe.

    What this host sees of crashes goes to the other hosts as objects of the
    platform, which a host also reads when it starts.

    Args:
        host_id: the id of this host.
        fleet: the other hosts.
        clock: dates crashes and completed requests.
        logger: logs parts that are suspected, quarantined and released.
    """

    def __init__(
        self,
        host_id: str,
        fleet: SnapshotCell[FleetSnapshot],
        clock: Clock,
        logger: EventLogger,
    ) -> None:
        self._host_id = host_id
        self._fleet = fleet
        self._clock = clock
        self._logger = logger
        self.trials = PromptTrials(host_id, fleet, clock, logger)
        self._lock = threading.Lock()
        self._quarantine = PromptQuarantine()
        self._queue = ReportQueue()
        self._found = threading.Event()
        self._answer_due: dict[str, float] = {}
        self._breaks: list[_Break] = []
        # Parts that this host has released, which no report has told yet.
        self._released: frozenset[str] = frozenset()

    @property
    def quarantined(self) -> frozenset[str]:
        """The quarantined parts."""
        return self._quarantine.quarantined

    @property
    def pending(self) -> bool:
        """Whether there are reports to send, now or later."""
        return bool(self._answer_due or self._breaks) or not self._queue.empty

    def check(self, parts: Sequence[str]) -> Quarantine | None:
        """Return why a request must not be sent, None if it may be.

        From time to time ``trials`` lets one request through all the same, to
        find out whether the part still crashes servers.

        Args:
            parts: the parts of its prompt, and the request as a whole.
        """
        if not self._breaks and self.quarantined.isdisjoint(parts):
            return None
        with self._lock:
            now = self._clock.monotonic()
            self._settle(now)
            found = self._quarantine.find(parts, now)
            if found is None:
                ended = _ended_under(parts, self._breaks)
                return self._quarantine.expect(parts, ended)
            return found

    def crashed(
        self, parts: Sequence[str], incarnation: str, began_at: float
    ) -> None:
        """Record that a server has ended under a request, or seems to have.

        Args:
            parts: the parts of the request's prompt.
            incarnation: the server's id and start.
            began_at: when the request was sent, in monotonic seconds.
        """
        with self._lock:
            now = self._clock.monotonic()
            if self._quarantine.suspects(parts, now):
                self._breaks.append(
                    _Break(now, began_at, incarnation, tuple(parts))
                )
                self._found.set()

    def completed(self, parts: Sequence[str]) -> None:
        """Record that a request with these parts has completed."""
        with self._lock:
            before = self.quarantined
            cleared = self._quarantine.completed(parts, self._clock.monotonic())
            self._released |= (before - self.quarantined).intersection(cleared)
            if cleared:
                self._queue.add(
                    PromptReport(self._clock.wall(), completed=cleared)
                )
                self._found.set()
        self._log_changes(before)

    def wait(self, timeout_s: float) -> None:
        """Wait for a report to send; there may be none after the timeout."""
        self._found.wait(timeout_s)
        self._found.clear()

    def next_report(self) -> PromptReport | None:
        """Return the next report to send now, None if there is none."""
        with self._lock:
            now = self._clock.monotonic()
            self._settle(now)
            self._answer_suspicions(now)
            live_hosts = 1 + len(self._fleet.current.alive)
            report = self._queue.take(live_hosts, now, self._is_urgent)
            if report is not None:
                self._released -= frozenset(report.completed)
            return report

    def send_again(self, report: PromptReport) -> None:
        """Take a report back that could not be sent."""
        with self._lock:
            self._queue.add(report)
            self._released |= frozenset(report.completed)

    def apply(self, report: PromptReport) -> None:
        """Apply a report of any host."""
        with self._lock:
            before = self.quarantined
            now = self._clock.monotonic()
            at = now - max(0, self._clock.wall() - report.at)
            for suspect in report.suspects:
                self._plan_answer(suspect.part, now)
            self._quarantine.crashed(report.incarnation, report.suspects, at)
            self._quarantine.completed(report.completed, at)
            for completed_part in report.completed:
                self._answer_due.pop(completed_part, None)
        self._log_changes(before)

    def _is_urgent(self, report: PromptReport) -> bool:
        """Return whether hosts refuse too much or too little without it."""
        releases = not self._released.isdisjoint(report.completed)
        return releases or self._quarantine.nears_blame(report.suspects)

    def _settle(self, now: float) -> None:
        """Take breaks for ends of servers, unless too many come at once."""
        while self._breaks and self._breaks[0].at <= now - _SETTLE_S:
            first_at = self._breaks[0].at
            together = [
                one
                for one in self._breaks
                if one.at <= first_at + _SETTLE_S and one.began_at <= first_at
            ]
            self._breaks = [one for one in self._breaks if one not in together]
            servers = {one.incarnation for one in together}
            if len(servers) < MIN_CRASHES:
                self._suspect(together)
            else:
                self._logger.info(
                    'prompt_parts_not_suspected', backend_servers=len(servers)
                )

    def _suspect(self, breaks: Iterable[_Break]) -> None:
        before = self.quarantined
        wall = self._clock.wall()
        for one in breaks:
            suspects = self._quarantine.suspects(one.parts, one.at)
            if not suspects:
                continue
            self._quarantine.crashed(one.incarnation, suspects, one.at)
            self._queue.add(PromptReport(wall, one.incarnation, suspects))
            self._logger.info(
                'prompt_parts_suspected',
                backend_server=one.incarnation,
                parts=','.join(suspect.part for suspect in suspects),
            )
        self._log_changes(before)

    def _plan_answer(self, part: str, now: float) -> None:
        """Plan to report a part as completed that another host suspects."""
        if not self._quarantine.trusts(part, now):
            return
        peers = (peer.host_id for peer in self._fleet.current.alive)
        rank = rendezvous_hashing.place(part, self._host_id, peers)
        delay_s = min(_LONGEST_ANSWER_S, rank * _ANSWER_SPACING_S)
        self._answer_due.setdefault(part, now + delay_s)
        self._found.set()

    def _answer_suspicions(self, now: float) -> None:
        """Report parts as completed that others suspect and none has yet."""
        due = [name for name, at in self._answer_due.items() if at <= now]
        for part in due:
            self._answer_due.pop(part)
        trusted = tuple(
            name for name in due if self._quarantine.trusts(name, now)
        )
        if trusted:
            # The word of another host must not be passed on as a newer one.
            completed_at = min(map(self._quarantine.completed_at, trusted))
            wall = self._clock.wall() - (now - completed_at)
            self._queue.add(PromptReport(wall, completed=trusted))

    def _log_changes(self, before: frozenset[str]) -> None:
        after = self.quarantined
        if after == before:
            return
        for part in after - before:
            self._logger.warning('prompt_part_quarantined', part=part)
        for part in before - after:
            self._logger.info('prompt_part_released', part=part)


def _ended_under(
    parts: Sequence[str], breaks: Iterable[_Break]
) -> frozenset[str]:
    """Return the servers that seem to have ended under the same parts."""
    return frozenset(
        one.incarnation for one in breaks if one.parts == tuple(parts)
    )


class GuardedRun:
    """Tells a guard what one run of a request says of its prompt.

    Args:
        guard: the guard.
        parts: the parts of the prompt.
        clock: a monotonic clock.
    """

    def __init__(
        self, guard: PromptGuard, parts: Sequence[str], clock: Clock
    ) -> None:
        self._guard = guard
        self._parts = parts
        self._clock = clock
        self._began_at = clock.monotonic()
        self._proof_due: float | None = None

    def progressed(self) -> None:
        """Record an event of the answer."""
        now = self._clock.monotonic()
        if self._proof_due is None:
            self._proof_due = now + _PROOF_S
        elif now >= self._proof_due:
            self._proof_due = now + _PROOF_INTERVAL_S
            self._guard.completed(self._parts)

    def completed(self) -> None:
        """Record that the answer is whole."""
        self._guard.completed(self._parts)

    def disconnected(self, incarnation: str) -> None:
        """Record that the connection ended before the answer.

        Args:
            incarnation: the server's id and start.
        """
        self._guard.crashed(self._parts, incarnation, self._began_at)
