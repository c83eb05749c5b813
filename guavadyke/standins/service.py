"""Stand-in of a plain service, some of whose calls are not idempotent."""

from __future__ import annotations

import collections
import re
import threading
import time

from guavadyke.standins.backend_base import BackendStandin, not_run, send_twice
from guavadyke.standins.faults import BackendFaults
from guavadyke.standins.generation import REQUEST_ID_HEADER
from guavadyke.standins.history import Record
from guavadyke.standins.http import (
    DroppedConnectionError,
    StandinAnswer,
    StandinRequest,
    json_answer,
)
from guavadyke.standins.standin_base import refusal

_SLOTS = 64


class ServiceStandin(BackendStandin):
    """Answers any call with the number of runs of its path so far.

    Args:
        ip: IP address to listen on.
        port: port to listen on; 0 takes any free one.
        run_s: duration of a call in seconds.
        faults: faults to begin with.
    """

    def __init__(
        self,
        *,
        ip: str,
        port: int = 0,
        run_s: float = 0.005,
        faults: BackendFaults | None = None,
    ) -> None:
        super().__init__(ip, port, faults or BackendFaults())
        self._run_s = run_s
        self._lock = threading.Lock()
        self._running = 0
        self._runs: collections.Counter[str] = collections.Counter()
        self._last_id = ''
        self._route('/standin/runs', GET=self._get_runs)
        self._route('/load', GET=self._with_faults(self._get_load))
        self._route('/.*', ANY=self._with_faults(self._run))

    @property
    def runs(self) -> dict[str, int]:
        """Number of runs by path."""
        with self._lock:
            return dict(self._runs)

    def _run(
        self,
        request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer | None:
        if self.faults.refuse:
            return not_run('the service takes no new calls')
        faults = self.draw_faults()
        self.delay_answer()
        with self._lock:
            self._runs[request.path] += 1
            self._running += 1
            run = self._runs[request.path]
        record = self._begin_record(request, run)
        time.sleep(self._run_s * self.faults.slow)
        with self._lock:
            self._running -= 1
        return self._answer(request, faults, record)

    def _begin_record(self, request: StandinRequest, run: int) -> Record:
        return self._history.begin(
            operation='call',
            method=request.method,
            path=request.path,
            run=run,
            request_id=request.headers.get('x-request-id', ''),
            host_id=request.headers.get('guavadyke-host', ''),
            idempotency_key=request.headers.get('idempotency-key', ''),
            connection=request.connection.name,
        )

    def _answer(
        self,
        request: StandinRequest,
        faults: BackendFaults,
        record: Record,
    ) -> StandinAnswer | None:
        if faults.error:
            self._history.end(record, 'error')
            return refusal(faults.error, 'the service failed')
        answer = self._whole_answer(faults, record)
        if faults.silent_after is not None:
            self._history.end(record, 'silent')
            request.connection.hang(bool)
        if faults.broken_after is not None or self.should_reset(request):
            self._history.end(record, 'broken')
            _break_off(request, answer, faults.broken_after or 0)
        self._history.end(record, 'completed')
        if faults.doubled:
            send_twice(request.connection, answer)
            return None
        return answer

    def _whole_answer(
        self, faults: BackendFaults, record: Record
    ) -> StandinAnswer:
        shown_id = str(record['request_id'])
        if faults.crossed:
            shown_id = self._last_id or f'{shown_id}-other'
        self._last_id = str(record['request_id'])
        document = {
            'method': record['method'],
            'path': record['path'],
            'run': record['run'],
            'request_id': shown_id,
            'idempotency_key': record['idempotency_key'],
        }
        return json_answer(document, headers={REQUEST_ID_HEADER: shown_id})

    def _get_load(
        self,
        _request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        return json_answer({
            'running': self._running,
            'waiting': 0,
            'slots': _SLOTS,
            'leaving': False,
            'serves': (),
            'age_s': 0,
        })

    def _get_runs(
        self,
        _request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        return json_answer(self.runs)


def _break_off(
    request: StandinRequest,
    answer: StandinAnswer,
    pieces: int,
) -> None:
    """Send half of the answer, or nothing, and drop the connection.

    Args:
        request: the request to break off.
        answer: its complete answer.
        pieces: 0 to send nothing.

    Raises:
        DroppedConnectionError: always.
    """
    if pieces:
        headers = {
            **answer.headers,
            'Content-Length': str(len(answer.body)),
        }
        write = request.connection.start_answer(answer.status, headers)
        write(answer.body[: len(answer.body) // 2])
    raise DroppedConnectionError
