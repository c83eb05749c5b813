"""Requests of this host that try quarantined parts of prompts."""

from __future__ import annotations

import dataclasses
import threading
import weakref

from guavadyke.adapters.ports import Clock, StoredObject
from guavadyke.decisions.server_registry import ServerLease

# Time for which a claim holds: in which its request has to begin, and in which
# it has to be renewed after that. Other hosts count it from when they learn of
# the claim, so that clocks need not agree.
TRIAL_S = 5.0
# Leaves time for two failed writes and for the watches of the other hosts.
_RENEWAL_S = 1.5
_RETRY_DELAY_S = 0.5


@dataclasses.dataclass(frozen=True)
class OwnClaim:
    """A claim of this host on the platform, which holds until ``until``."""

    part: str
    stored: StoredObject
    until: float


@dataclasses.dataclass(frozen=True)
class _TrialRun:
    """A request that tries a part; its claim is renewed at ``renew_at``.

    ``renew_at`` is None once another host has replaced the claim. A lease that
    no longer exists belongs to a run that an unexpected error has ended.
    """

    lease: weakref.ref[ServerLease]
    claim: OwnClaim
    renew_at: float | None


class TrialRuns:
    """The requests that try a part now, whose claims are renewed. Thread-safe.

    Args:
        clock: tells when a claim is to be renewed.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._runs: dict[str, _TrialRun] = {}

    def begin(self, claim: OwnClaim, lease: ServerLease) -> None:
        """Renew a claim from now on, until the run of its request has ended.

        Args:
            claim: the claim.
            lease: the server to which the request is sent.
        """
        with self._lock:
            self._runs[claim.part] = _TrialRun(
                weakref.ref(lease), claim, _renewal_time(claim)
            )

    def ended(self, lease: ServerLease) -> tuple[OwnClaim, ...]:
        """Stop renewing the claims of a request, whose run has ended.

        Args:
            lease: the server to which it was sent.

        Returns:
            The claims.
        """
        with self._lock:
            claims = tuple(
                run.claim for run in self._runs.values() if run.lease() is lease
            )
            for claim in claims:
                self._runs.pop(claim.part)
        return claims

    def is_tried(self, part: str) -> bool:
        """Return whether a request of this host tries a part now."""
        with self._lock:
            run = self._runs.get(part)
            return run is not None and run.lease() is not None

    def next_renewal(self) -> OwnClaim | None:
        """Return a claim to renew now, None if there is none.

        It is returned again until ``renewed`` or ``not_renewed`` is called.
        """
        with self._lock:
            now = self._clock.monotonic()
            self._runs = {
                part: run
                for part, run in self._runs.items()
                if run.lease() is not None
            }
            due = (
                run.claim
                for run in self._runs.values()
                if run.renew_at is not None and run.renew_at <= now
            )
            return next(due, None)

    def renewed(self, claim: OwnClaim) -> None:
        """Record that a claim has been renewed.

        Args:
            claim: the claim, as it now stands.
        """
        self._replace(claim, _renewal_time(claim))

    def not_renewed(self, claim: OwnClaim, *, lost: bool) -> None:
        """Record that a claim could not be renewed.

        Args:
            claim: the claim.
            lost: whether another host has replaced it, so that it is not
                renewed any more.
        """
        retry_at = self._clock.monotonic() + _RETRY_DELAY_S
        self._replace(claim, None if lost else retry_at)

    def _replace(self, claim: OwnClaim, renew_at: float | None) -> None:
        with self._lock:
            run = self._runs.get(claim.part)
            if run is not None:
                self._runs[claim.part] = dataclasses.replace(
                    run, claim=claim, renew_at=renew_at
                )


def _renewal_time(claim: OwnClaim) -> float:
    return claim.until - TRIAL_S + _RENEWAL_S
