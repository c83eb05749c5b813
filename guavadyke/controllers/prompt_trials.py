"""Which host may send a request with a quarantined part of prompts."""

from __future__ import annotations

import dataclasses
import threading

from guavadyke.adapters.ports import Clock, StoredObject
from guavadyke.controllers.trial_runs import TRIAL_S, OwnClaim, TrialRuns
from guavadyke.decisions import rendezvous_hashing
from guavadyke.decisions.prompt_quarantine import Quarantine
from guavadyke.decisions.server_registry import ServerLease
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

# Items ask for a trial again at each tick of their runner.
_DEMAND_S = 1.0
_RETRY_DELAY_S = 0.5
# Hosts claim a trial that has just become due one after another, so that most
# of them learn of the first claim before they write their own.
_CLAIM_SPACING_S = 0.05
_LONGEST_CLAIM_DELAY_S = 2.0
# The same for a trial whose claim has lapsed, for which hosts wait already.
_LAPSE_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class TrialClaim:
    """A host's claim to try a part; ``at`` is in seconds since the epoch."""

    part: str
    host_id: str
    at: float


@dataclasses.dataclass(frozen=True)
class WantedTrial:
    """A trial to claim; ``previous`` is the last claim of its part."""

    part: str
    previous: StoredObject | None


@dataclasses.dataclass(frozen=True)
class _KnownClaim:
    """A claim of any host, which no other host may replace before ``until``."""

    stored: StoredObject | None
    until: float


class _ClaimDelays:
    """After which time this host claims trials that the others want too.

    The hosts are ranked once a part and membership. Not safe for threads.
    """

    def __init__(
        self, host_id: str, fleet: SnapshotCell[FleetSnapshot]
    ) -> None:
        self._host_id = host_id
        self._fleet = fleet
        self._ranked_fleet = fleet.current
        self._delay_s: dict[str, float] = {}

    def find(self, part: str) -> float:
        """Return the seconds by which this host comes after the first one."""
        fleet = self._fleet.current
        if fleet is not self._ranked_fleet:
            self._ranked_fleet = fleet
            self._delay_s = {}
        if part not in self._delay_s:
            self._delay_s[part] = self._rank(part, fleet)
        return self._delay_s[part]

    def _rank(self, part: str, fleet: FleetSnapshot) -> float:
        peers = tuple(peer.host_id for peer in fleet.alive)
        spacing_s = min(
            _CLAIM_SPACING_S, _LONGEST_CLAIM_DELAY_S / (1 + len(peers))
        )
        return spacing_s * rendezvous_hashing.place(part, self._host_id, peers)


class PromptTrials:
    """Trials of quarantined parts, of which a claim allows one. Thread-safe.

    Every host that has a request with the part may claim the trial. A claim
    replaces the last one on the platform under a condition, so that only one
    of several hosts succeeds. It is spent when the request is sent, and renewed
    until the run has ended. One that is neither spent nor renewed lapses after
    ``TRIAL_S``: so it does after the end of its run, the loss of its host, or
    the loss of the platform while its run goes on.

    Args:
        host_id: the id of this host.
        fleet: the other hosts.
        clock: dates claims.
        logger: logs parts that are tried.

    Attributes:
        runs: the requests of this host that try a part now.
    """

    def __init__(
        self,
        host_id: str,
        fleet: SnapshotCell[FleetSnapshot],
        clock: Clock,
        logger: EventLogger,
    ) -> None:
        self._host_id = host_id
        self._clock = clock
        self._logger = logger
        self._changed = threading.Condition()
        self._wanted = threading.Event()
        self._wanted_until: dict[str, float] = {}
        self._known: dict[str, _KnownClaim] = {}
        self._unspent: dict[str, OwnClaim] = {}
        self._slow_until: dict[str, float] = {}
        self.runs = TrialRuns(clock)
        self._delays = _ClaimDelays(host_id, fleet)

    def allows(self, found: Quarantine | None) -> bool:
        """Return whether a request may start; ask for a trial if it is due.

        Args:
            found: the quarantine of the request, None if it is in none.
        """
        if found is None:
            return True
        if found.trial_in_s:
            return False
        with self._changed:
            now = self._clock.monotonic()
            self._want(found, now)
            return self._holds(found.part, now)

    def await_claim(self, found: Quarantine, longest_s: float) -> bool:
        """Return whether a request may start, after a wait for the platform.

        There is no wait if the trial is not due, another host has it, or the
        platform was too slow for an earlier request.

        Args:
            found: the quarantine of the request.
            longest_s: longest wait in seconds.
        """
        if self.allows(found):
            return True
        with self._changed:
            now = self._clock.monotonic()
            if self._slow_until.get(found.part, 0) > now:
                return self._holds(found.part, now)
            answered = self._changed.wait_for(
                lambda: found.part not in self._wanted_until, longest_s
            )
            if not answered:
                self._slow_until[found.part] = now + TRIAL_S
            self._wanted_until.pop(found.part, None)
            return self._holds(found.part, self._clock.monotonic())

    def begins(
        self, found: Quarantine | None, lease: ServerLease | None = None
    ) -> bool:
        """Return whether a request may be sent now, and spend its claim.

        Args:
            found: the quarantine of the request, None if it is in none.
            lease: the server to which it is sent. Without it the claim is
                not renewed, since no end of the run can be recorded.
        """
        if found is None:
            return True
        with self._changed:
            now = self._clock.monotonic()
            if found.trial_in_s or not self._holds(found.part, now):
                return False
            claim = self._unspent.pop(found.part)
            if lease is not None:
                self.runs.begin(claim, lease)
        self._logger.info('prompt_part_tried', part=found.part)
        return True

    def not_run(self, lease: ServerLease) -> None:
        """Take back the claim of a request that its server surely did not run.

        Args:
            lease: the server to which it was to be sent.
        """
        with self._changed:
            for claim in self.runs.ended(lease):
                self._unspent[claim.part] = claim

    def wait(self, timeout_s: float) -> None:
        """Wait for a trial to claim; there may be none after the timeout."""
        self._wanted.wait(timeout_s)
        self._wanted.clear()

    def next_wanted(self) -> WantedTrial | None:
        """Return a trial to claim now, None if there is none."""
        with self._changed:
            now = self._clock.monotonic()
            self._wanted_until = {
                part: until
                for part, until in self._wanted_until.items()
                if until > now
            }
            for part in self._wanted_until:
                known = self._known.get(part)
                return WantedTrial(part, known.stored if known else None)
        return None

    def claimed(self, part: str, stored: StoredObject, began_at: float) -> None:
        """Record that this host has claimed a trial.

        Args:
            part: the part to try.
            stored: the claim on the platform.
            began_at: when its write began, in seconds of the monotonic clock.
        """
        with self._changed:
            self._unspent[part] = OwnClaim(part, stored, began_at + TRIAL_S)
            self._slow_until.pop(part, None)
            if self._is_newer(part, stored):
                self._know(part, stored)
            self._wanted_until.pop(part, None)
            self._changed.notify_all()

    def not_claimed(self, part: str) -> None:
        """Record that another host was first, or that the write failed."""
        with self._changed:
            known = self._known.get(part, _KnownClaim(None, 0))
            retry_at = self._clock.monotonic() + _RETRY_DELAY_S
            self._known[part] = _KnownClaim(
                known.stored, max(known.until, retry_at)
            )
            self._wanted_until.pop(part, None)
            self._changed.notify_all()

    def learn(self, claim: TrialClaim, stored: StoredObject) -> None:
        """Record a claim of any host, as the platform holds it."""
        with self._changed:
            if not self._is_newer(claim.part, stored):
                return
            self._know(claim.part, stored)
            if claim.host_id != self._host_id:
                self._wanted_until.pop(claim.part, None)
                self._changed.notify_all()

    def forget(self, name: str) -> None:
        """Forget a claim that is no longer on the platform."""
        with self._changed:
            self._known = {
                part: known
                for part, known in self._known.items()
                if known.stored is None or known.stored.name != name
            }

    def _is_newer(self, part: str, stored: StoredObject) -> bool:
        known = self._known.get(part)
        before = known.stored if known else None
        return before is None or before.version < stored.version

    def _know(self, part: str, stored: StoredObject) -> None:
        self._known[part] = _KnownClaim(
            stored, self._clock.monotonic() + TRIAL_S
        )

    def _holds(self, part: str, now: float) -> bool:
        claim = self._unspent.get(part)
        return claim is not None and claim.until > now

    def _want(self, found: Quarantine, now: float) -> None:
        """Ask for a claim, unless one is held or it is not this host's turn."""
        known = self._known.get(found.part, _KnownClaim(None, 0))
        if (
            self._holds(found.part, now)
            or self.runs.is_tried(found.part)
            or known.until > now
        ):
            return
        wanted = self._wanted_until.get(found.part, 0) > now
        if wanted or self._is_own_turn(found, known, now):
            self._wanted_until[found.part] = now + _DEMAND_S
            self._wanted.set()

    def _is_own_turn(
        self, found: Quarantine, known: _KnownClaim, now: float
    ) -> bool:
        delay_s = self._delays.find(found.part)
        lapsed_s = now - known.until
        return found.overdue_s >= delay_s and lapsed_s >= _LAPSE_SHARE * delay_s
