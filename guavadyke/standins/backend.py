"""What the stand-ins of backend servers have in common."""

from __future__ import annotations

import re
import time

from guavadyke.adapters.backend import NOT_RUN_HEADER
from guavadyke.standins.control import Action, StandinBase, refusal
from guavadyke.standins.faults import BackendFaults
from guavadyke.standins.http import (
    Connection,
    StandinAnswer,
    StandinRequest,
)

_HEAD_END = '\r\n\r\n'


class BackendStandin(StandinBase[BackendFaults]):
    """Gives the faults that engines and services share.

    Args:
        ip: IP address to listen on.
        port: port to listen on; 0 takes any free one.
        faults: faults from the start.
    """

    def resets(self, request: StandinRequest) -> bool:
        """Return whether the request's connection is to be reset."""
        faults = self.faults
        return faults.reset or (faults.cut == 'reset' and self._cuts(request))

    def holds(self, request: StandinRequest) -> bool:
        """Return whether the request is to get nothing for now."""
        faults = self.faults
        return faults.silent or (faults.cut == 'silent' and self._cuts(request))

    def delay(self) -> None:
        """Wait where answers are to be late."""
        if self.faults.delay_s:
            time.sleep(self.faults.delay_s)

    def faults_of_one(self) -> BackendFaults:
        """Return the faults that hit one request."""
        faults = self.faults
        if faults == BackendFaults():
            return faults
        if self._board.draw(faults.probability, faults.limit):
            return faults
        return BackendFaults()

    def _cuts(self, request: StandinRequest) -> bool:
        cut_hosts = self.faults.cut_hosts
        return (
            bool(cut_hosts)
            and request.headers.get('guavadyke-host') in cut_hosts
        )

    def _reachable(self, action: Action) -> Action:
        """Return the action with the faults that hit every call."""

        def guarded(
            request: StandinRequest,
            match: re.Match[str],
        ) -> StandinAnswer | None:
            if self.resets(request):
                request.connection.reset()
            if self.holds(request):
                request.connection.hang(lambda: not self.holds(request))
            return action(request, match)

        return guarded


def not_run(message: str) -> StandinAnswer:
    """Return a 503 that proves that the request did not run."""
    return refusal(503, message, headers={NOT_RUN_HEADER: 'true'})


def send_twice(connection: Connection, answer: StandinAnswer) -> None:
    """Answer, and answer once more on the same connection."""
    headers = {**answer.headers, 'Content-Length': str(len(answer.body))}
    lines = [f'HTTP/1.1 {answer.status} OK']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    head = '\r\n'.join(lines) + _HEAD_END
    connection.start(answer.status, headers)(answer.body)
    connection.write_again(head.encode() + answer.body)
