"""Stand-in of the platform: objects, watches, host list, weight store."""

from __future__ import annotations

import collections
import re
import threading
import time
from collections.abc import Callable

from guavadyke.settings import SettingsModel
from guavadyke.standins.faults import PlatformFaults
from guavadyke.standins.history import Record
from guavadyke.standins.http import (
    DroppedConnectionError,
    StandinAnswer,
    StandinRequest,
    json_answer,
)
from guavadyke.standins.object_api import ObjectApi
from guavadyke.standins.object_table import ObjectTable, TableSnapshot
from guavadyke.standins.standin_base import StandinBase, refusal
from guavadyke.standins.weights import WeightStore, WeightStoreSpec

_FIRST_ERROR_STATUS = 400
_MAX_HOST_LISTS = 100
_OBJECT_PATTERN = r'/objects/(?P<kind>[^/]+)/(?P<name>.+)'
_KIND_PATTERN = r'/objects/(?P<kind>[^/]+)'


class HostEntry(SettingsModel):
    """A host in the platform's host list."""

    host_id: str
    role: str
    zone: str
    address: str
    leaving: bool = False


class HostList(SettingsModel):
    """The platform's list of live and leaving hosts."""

    hosts: tuple[HostEntry, ...] = ()


class PlatformStandin(StandinBase[PlatformFaults]):
    """Serves the platform's protocol; see docs/platform-protocol.md.

    Args:
        ip: IP address to listen on.
        port: port to listen on; 0 takes any free one.
        faults: faults to begin with.
        weights: configuration of the weight store.
    """

    def __init__(
        self,
        *,
        ip: str,
        port: int = 0,
        faults: PlatformFaults | None = None,
        weights: WeightStoreSpec | None = None,
    ) -> None:
        self._table = ObjectTable()
        self._saved_snapshot: TableSnapshot | None = None
        self._counts: collections.Counter[str] = collections.Counter()
        self._count_lock = threading.Lock()
        self._host_lists: list[tuple[float, HostList]] = [(0, HostList())]
        super().__init__(ip, port, faults or PlatformFaults())
        self._object_api = ObjectApi(self._table, self._fault_injector)
        self._route('/standin/hosts', PUT=self._put_hosts)
        self._route('/standin/counts', GET=self._get_counts)
        self._route('/standin/keep', POST=self._post_keep)
        self._route('/standin/restore', POST=self._post_restore)
        self._route(
            _OBJECT_PATTERN,
            GET=self._instrument('read', self._object_api.read),
            PUT=self._instrument('write', self._object_api.write),
            DELETE=self._instrument('delete', self._object_api.delete),
        )
        self._route(
            _KIND_PATTERN,
            GET=self._instrument('list', self._object_api.list_page),
        )
        self._route(
            '/watch/(?P<kind>[^/]+)',
            GET=self._instrument('watch', self._object_api.watch),
        )
        self._route('/hosts', GET=self._instrument('hosts', self._list_hosts))
        store = WeightStore(weights or WeightStoreSpec())
        self._route('/weights/[^/]+/[^/]+', GET=store.send)

    @property
    def counts(self) -> dict[str, int]:
        """Number of calls so far, by operation."""
        with self._count_lock:
            return dict(self._counts)

    @property
    def hosts(self) -> HostList:
        """The current host list; callers see a new one after the lag."""
        return self._host_lists[-1][1]

    @hosts.setter
    def hosts(self, hosts: HostList) -> None:
        recent = self._host_lists[-_MAX_HOST_LISTS:]
        self._host_lists = [*recent, (time.monotonic(), hosts)]

    def save_snapshot(self) -> None:
        """Save a snapshot of the objects for ``restore_snapshot``."""
        self._saved_snapshot = self._table.snapshot()

    def restore_snapshot(self) -> None:
        """Reset the objects and the revision to the saved snapshot.

        Raises:
            ValueError: no state was saved.
        """
        if self._saved_snapshot is None:
            raise ValueError('no state was saved')
        self._table.restore(self._saved_snapshot)

    def _instrument(
        self,
        operation: str,
        action: Callable[[StandinRequest, re.Match[str]], StandinAnswer],
    ) -> Callable[[StandinRequest, re.Match[str]], StandinAnswer]:
        """Wrap an action: count and record its calls and apply faults."""

        def handle_call(
            request: StandinRequest,
            match: re.Match[str],
        ) -> StandinAnswer:
            record = self._begin_record(operation, request, match)
            try:
                answer = self._run_with_faults(
                    operation, request, match, action
                )
            except DroppedConnectionError as error:
                self._history.end(record, str(error) or 'dropped')
                raise
            self._history.end(
                record,
                str(answer.status),
                version=answer.headers.get('ETag', '').strip('"'),
            )
            return answer

        return handle_call

    def _begin_record(
        self,
        operation: str,
        request: StandinRequest,
        match: re.Match[str],
    ) -> Record:
        with self._count_lock:
            self._counts[operation] += 1
        return self._history.begin(
            operation=operation,
            host_id=request.headers.get('guavadyke-host', ''),
            **match.groupdict(),
        )

    def _run_with_faults(
        self,
        operation: str,
        request: StandinRequest,
        match: re.Match[str],
        action: Callable[[StandinRequest, re.Match[str]], StandinAnswer],
    ) -> StandinAnswer:
        self._apply_connection_faults(request)
        if self.faults.outage == 'refuse':
            return refusal(503, 'the platform is down')
        if self.faults.delay_s:
            time.sleep(self.faults.delay_s)
        if operation not in {'write', 'delete'}:
            return action(request, match)
        if self._should_lose('lost_requests'):
            _drop_connection(request, 'lost_request')
        answer = action(request, match)
        if answer.status < _FIRST_ERROR_STATUS and self._should_lose(
            'lost_answers'
        ):
            _drop_connection(request, 'lost_answer')
        return answer

    def _apply_connection_faults(self, request: StandinRequest) -> None:
        """Reset or stall a call during an outage or from a cut-off host."""
        faults = self.faults
        cut = request.headers.get('guavadyke-host') in faults.cut_hosts
        if faults.outage == 'reset' or (cut and faults.cut == 'reset'):
            _drop_connection(request, 'reset')
        if faults.outage == 'silent' or cut:
            request.connection.hang(bool)

    def _should_lose(self, field: str) -> bool:
        if self._fault_injector.try_consume(f'{field}_next'):
            return True
        return self._fault_injector.draw(float(getattr(self.faults, field)))

    def _list_hosts(
        self,
        _request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        seen_at = time.monotonic() - self.faults.hosts_lag_s
        hosts = next(
            (
                listed
                for at, listed in reversed(self._host_lists)
                if at <= seen_at
            ),
            HostList(),
        )
        return json_answer(hosts.model_dump(mode='json'))

    def _put_hosts(
        self,
        request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        self.hosts = HostList.model_validate_json(request.body)
        return json_answer({})

    def _get_counts(
        self,
        _request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        return json_answer(self.counts)

    def _post_keep(
        self,
        _request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        self.save_snapshot()
        return json_answer({'revision': self._table.revision})

    def _post_restore(
        self,
        _request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        self.restore_snapshot()
        return json_answer({'revision': self._table.revision})


def _drop_connection(request: StandinRequest, outcome: str) -> None:
    try:
        request.connection.reset()
    except DroppedConnectionError:
        raise DroppedConnectionError(outcome) from None
