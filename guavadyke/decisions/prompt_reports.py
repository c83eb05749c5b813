"""What hosts report of prompts, and which reports a host sends."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable, Iterable
from typing import TypeVar

from guavadyke.decisions.prompt_quarantine import Suspect

# Bounds the cost of the reports, whatever the size of the fleet. Servers that
# break off single answers cause reports too.
_FLEET_REPORTS_PER_S = 20.0
_BURST = 3.0
# What urgent reports may take in advance of the allowance.
_OVERDRAFT = 3.0
_MAX_PENDING = 32

_Entry = TypeVar('_Entry')


@dataclasses.dataclass(frozen=True)
class PromptReport:
    """What one host has seen of some parts of prompts.

    Either a server's ``incarnation`` has ended under requests with the
    ``suspects``, or requests with the parts ``completed`` have completed. A
    report may hold both. ``at`` is in seconds since the epoch.
    """

    at: float
    incarnation: str = ''
    suspects: tuple[Suspect, ...] = ()
    completed: tuple[str, ...] = ()


class ReportQueue:
    """Reports that wait to be sent, at a bounded rate. Not safe for threads.

    What is reported of the same server goes into one report. Urgent reports
    go first. When the queue is full, the oldest report is dropped.
    """

    def __init__(self) -> None:
        self._pending: collections.OrderedDict[str, PromptReport] = (
            collections.OrderedDict()
        )
        self._allowance = _BURST
        self._refilled_at: float | None = None

    @property
    def empty(self) -> bool:
        """Whether no report waits."""
        return not self._pending

    def add(self, report: PromptReport) -> None:
        """Add a report."""
        known = self._pending.get(report.incarnation, report)
        self._pending[report.incarnation] = dataclasses.replace(
            known,
            suspects=_union(known.suspects, report.suspects),
            completed=_union(known.completed, report.completed),
        )
        if len(self._pending) > _MAX_PENDING:
            self._pending.popitem(last=False)

    def take(
        self,
        live_hosts: int,
        now: float,
        is_urgent: Callable[[PromptReport], bool],
    ) -> PromptReport | None:
        """Return a report to send now, None if there is none or it must wait.

        Args:
            live_hosts: number of hosts that share the rate.
            now: seconds of the monotonic clock.
            is_urgent: whether hosts need a report to blame a request.
        """
        if self._refilled_at is not None:
            rate_per_s = _FLEET_REPORTS_PER_S / live_hosts
            gained = (now - self._refilled_at) * rate_per_s
            self._allowance = min(_BURST, self._allowance + gained)
        self._refilled_at = now
        urgent = (key for key, one in self._pending.items() if is_urgent(one))
        chosen = next(urgent, None)
        least = 1 if chosen is None else 1 - _OVERDRAFT
        if not self._pending or self._allowance < least:
            return None
        self._allowance -= 1
        if chosen is None:
            return self._pending.popitem(last=False)[1]
        return self._pending.pop(chosen)


def _union(
    known: Iterable[_Entry], added: Iterable[_Entry]
) -> tuple[_Entry, ...]:
    return tuple(dict.fromkeys((*known, *added)))
