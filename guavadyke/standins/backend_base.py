"""Base class of the engine and service stand-ins."""

from __future__ import annotations

import re
import time

from guavadyke.adapters.backend import NOT_RUN_HEADER
from guavadyke.standins.faults import BackendFaults
from guavadyke.standins.http import (
    Connection,
    StandinAnswer,
    StandinRequest,
)
from guavadyke.standins.standin_base import Action, StandinBase, refusal

_HEADER_END = '\r\n\r\n'


class BackendStandin(StandinBase[BackendFaults]):
    """Stand-in of a backend server, with the faults that all of them share.

    Args:
        ip: IP address to listen on.
        port: port to listen on; 0 takes any free one.
        faults: faults to begin with.
    """

    def should_reset(self, request: StandinRequest) -> bool:
        """Return whether the fault settings reset the request's connection."""
        faults = self.faults
        return faults.reset or (
            faults.cut == 'reset' and self._is_cut_off(request)
        )

    def holds(self, request: StandinRequest) -> bool:
        """Return whether the fault settings withhold the answer for now."""
        faults = self.faults
        return faults.silent or (
            faults.cut == 'silent' and self._is_cut_off(request)
        )

    def delay_answer(self) -> None:
        """Sleep for the ``delay_s`` of the fault settings."""
        if self.faults.delay_s:
            time.sleep(self.faults.delay_s)

    def draw_faults(self) -> BackendFaults:
        """Return the fault settings that apply to the next request.

        These are the current ones with their ``probability`` and up to
        their ``limit``, otherwise settings without faults.
        """
        faults = self.faults
        if faults == BackendFaults():
            return faults
        if self._fault_injector.draw(faults.probability, faults.limit):
            return faults
        return BackendFaults()

    def _is_cut_off(self, request: StandinRequest) -> bool:
        cut_hosts = self.faults.cut_hosts
        return (
            bool(cut_hosts)
            and request.headers.get('guavadyke-host') in cut_hosts
        )

    def _with_faults(self, action: Action) -> Action:
        """Wrap an action with the faults that reset or withhold answers."""

        def action_with_faults(
            request: StandinRequest,
            match: re.Match[str],
        ) -> StandinAnswer | None:
            if self.should_reset(request):
                request.connection.reset()
            if self.holds(request):
                request.connection.hang(lambda: not self.holds(request))
            return action(request, match)

        return action_with_faults


def not_run(message: str) -> StandinAnswer:
    """Return a 503 whose header states that the request did not run."""
    return refusal(503, message, headers={NOT_RUN_HEADER: 'true'})


def send_twice(connection: Connection, answer: StandinAnswer) -> None:
    """Send an answer twice on the same connection."""
    headers = {**answer.headers, 'Content-Length': str(len(answer.body))}
    lines = [f'HTTP/1.1 {answer.status} OK']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    header_text = '\r\n'.join(lines) + _HEADER_END
    connection.start_answer(answer.status, headers)(answer.body)
    connection.write_raw(header_text.encode() + answer.body)
