"""Stand-in for the platform: objects, watches, host list and weights."""

from __future__ import annotations

import collections
import re
import threading
import time
from collections.abc import Callable

from guavadyke.settings import SettingsModel
from guavadyke.standins.control import StandinBase, refusal
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
from guavadyke.standins.weights import WeightStore, WeightStoreSpec

_FIRST_ERROR = 400
_KEPT_HOST_LISTS = 100
_OBJECT_PATTERN = r'/objects/(?P<kind>[^/]+)/(?P<name>.+)'
_KIND_PATTERN = r'/objects/(?P<kind>[^/]+)'


class HostEntry(SettingsModel):
    """A host of the list that the platform gives."""

    host_id: str
    role: str
    zone: str
    address: str
    leaving: bool = False


class HostList(SettingsModel):
    """The list of live and leaving hosts."""

    hosts: tuple[HostEntry, ...] = ()


class PlatformStandin(StandinBase[PlatformFaults]):
    """Answers the platform's protocol; see docs/platform-protocol.md.

    Args:
        ip: IP address to listen on.
        port: port to listen on; 0 takes any free one.
        faults: faults from the start.
        weights: what the weight store is like.
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
        self._kept: TableSnapshot | None = None
        self._counts: collections.Counter[str] = collections.Counter()
        self._count_lock = threading.Lock()
        self._hosts: list[tuple[float, HostList]] = [(0, HostList())]
        super().__init__(ip, port, faults or PlatformFaults())
        self._api = ObjectApi(self._table, self._board)
        self._route('/standin/hosts', PUT=self._put_hosts)
        self._route('/standin/counts', GET=self._get_counts)
        self._route('/standin/keep', POST=self._post_keep)
        self._route('/standin/restore', POST=self._post_restore)
        self._route(
            _OBJECT_PATTERN,
            GET=self._call('read', self._api.read),
            PUT=self._call('write', self._api.write),
            DELETE=self._call('delete', self._api.delete),
        )
        self._route(_KIND_PATTERN, GET=self._call('list', self._api.list_page))
        self._route(
            '/watch/(?P<kind>[^/]+)',
            GET=self._call('watch', self._api.watch),
        )
        self._route('/hosts', GET=self._call('hosts', self._list_hosts))
        store = WeightStore(weights or WeightStoreSpec())
        self._route('/weights/[^/]+/[^/]+', GET=store.send)

    @property
    def counts(self) -> dict[str, int]:
        """Calls so far, by what they asked for."""
        with self._count_lock:
            return dict(self._counts)

    @property
    def hosts(self) -> HostList:
        """The list of hosts; readers see a new one after the lag."""
        return self._hosts[-1][1]

    @hosts.setter
    def hosts(self, hosts: HostList) -> None:
        kept = self._hosts[-_KEPT_HOST_LISTS:]
        self._hosts = [*kept, (time.monotonic(), hosts)]

    def keep(self) -> None:
        """Remember the present state for ``restore``."""
        self._kept = self._table.snapshot()

    def restore(self) -> None:
        """Go back to the state that was kept, its revision included."""
        if self._kept is None:
            raise ValueError('no state was kept')
        self._table.restore(self._kept)

    def _call(
        self,
        operation: str,
        action: Callable[[StandinRequest, re.Match[str]], StandinAnswer],
    ) -> Callable[[StandinRequest, re.Match[str]], StandinAnswer]:
        """Return the action with its count, record and faults."""

        def counted(
            request: StandinRequest,
            match: re.Match[str],
        ) -> StandinAnswer:
            record = self._begin(operation, request, match)
            try:
                answer = self._faulty(operation, request, match, action)
            except DroppedConnectionError as error:
                self._history.end(record, str(error) or 'dropped')
                raise
            self._history.end(
                record,
                str(answer.status),
                version=answer.headers.get('ETag', '').strip('"'),
            )
            return answer

        return counted

    def _begin(
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

    def _faulty(
        self,
        operation: str,
        request: StandinRequest,
        match: re.Match[str],
        action: Callable[[StandinRequest, re.Match[str]], StandinAnswer],
    ) -> StandinAnswer:
        self._interrupt(request)
        if self.faults.outage == 'refuse':
            return refusal(503, 'the platform is down')
        if self.faults.delay_s:
            time.sleep(self.faults.delay_s)
        if operation not in {'write', 'delete'}:
            return action(request, match)
        if self._hit('lost_requests'):
            _drop(request, 'lost_request')
        answer = action(request, match)
        if answer.status < _FIRST_ERROR and self._hit('lost_answers'):
            _drop(request, 'lost_answer')
        return answer

    def _interrupt(self, request: StandinRequest) -> None:
        """Reset or hold a call that does not get through."""
        faults = self.faults
        cut = request.headers.get('guavadyke-host') in faults.cut_hosts
        if faults.outage == 'reset' or (cut and faults.cut == 'reset'):
            _drop(request, 'reset')
        if faults.outage == 'silent' or cut:
            request.connection.hang(bool)

    def _hit(self, field: str) -> bool:
        if self._board.take(f'{field}_next'):
            return True
        return self._board.draw(float(getattr(self.faults, field)))

    def _list_hosts(
        self,
        _request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        seen_at = time.monotonic() - self.faults.hosts_lag_s
        hosts = next(
            (listed for at, listed in reversed(self._hosts) if at <= seen_at),
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
        self.keep()
        return json_answer({'revision': self._table.revision})

    def _post_restore(
        self,
        _request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        self.restore()
        return json_answer({'revision': self._table.revision})


def _drop(request: StandinRequest, outcome: str) -> None:
    try:
        request.connection.reset()
    except DroppedConnectionError:
        raise DroppedConnectionError(outcome) from None
