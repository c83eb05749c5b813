"""Hosts that hand over jobs, and hosts that get texts of items."""

from __future__ import annotations

import collections
import socket
from collections.abc import Collection, Iterator

from features import builders_forward as build
from features.builders_forward_runner import (
    FLEET_KEY,
    host_settings,
    text_handover,
)
from guavadyke.adapters import peer_call_codec as codec
from guavadyke.adapters.clock import SystemClock
from guavadyke.adapters.message_authentication import MessageAuthenticator
from guavadyke.adapters.peer_calls import PeerReply, PeerRequest
from guavadyke.adapters.peer_datagram_codec import pack_struct, unpack_struct
from guavadyke.adapters.peer_datagrams import RejectedMessageLog
from guavadyke.adapters.peer_rpc import PeerServer, receive_frame
from guavadyke.adapters.peer_sockets import bind_sockets
from guavadyke.controllers.forward_job_maintenance import JobMaintenance
from guavadyke.decisions.forward_job_items import JobItemTracker
from guavadyke.decisions.forward_job_records import JobView
from guavadyke.decisions.partial_texts import JobTexts, PartialText
from guavadyke.log import EventLogger
from guavadyke.peer.generated.messages import ttypes
from guavadyke.settings import ListenSettings
from guavadyke.snapshots import FleetSnapshot, PeerView, SnapshotCell

_LAST_KNOWN_FIELD = 10
_MS_PER_S = 1000


class EarlierRequest(ttypes.Request):
    """The request as the version before texts of items knows it."""

    thrift_spec = ttypes.Request.thrift_spec[: _LAST_KNOWN_FIELD + 1]


class EarlierPeerServer(PeerServer):
    """Answers calls as the version before texts of items does."""

    def _receive_call(self, connection: socket.socket) -> codec.CallEnvelope:
        payload = self._authenticator.verify(receive_frame(connection))
        known = unpack_struct(EarlierRequest(), payload)
        return codec.decode_call(pack_struct(known))


class TextReceiver:
    """A host that receives texts of items, and one that sends them.

    Args:
        fault: what is wrong with the receiver, empty for nothing.
    """

    def __init__(self, fault: str = '') -> None:
        self.requests: list[PeerRequest] = []
        self.logger = build.RecordingLogger()
        self._sockets = bind_sockets(
            ListenSettings.model_validate({'ip': '127.0.0.1', 'port': 0})
        )
        kind = (
            EarlierPeerServer
            if fault == 'does not know the call'
            else PeerServer
        )
        self._server = kind(
            self._sockets,
            MessageAuthenticator(FLEET_KEY),
            SystemClock(),
            RejectedMessageLog(SystemClock(), EventLogger()),
            self._answer,
        )
        if fault == 'cannot be reached':
            self._sockets.calls.close()
        elif fault != 'does not answer':
            self._server.start()
        peer = _peer('host-2', 1, self._sockets.address)
        self.sender = text_handover(
            SnapshotCell(FleetSnapshot((peer,))), SystemClock(), self.logger
        )

    def close(self) -> None:
        """Stop receiving."""
        self._server.close()
        self._sockets.calls.close()

    def _answer(self, _sender: str, request: PeerRequest) -> PeerReply:
        self.requests.append(request)
        return PeerReply()


class LeavingHost:
    """A host that reassigns its jobs; ``owners`` counts who gets them.

    Args:
        started: when each of the other hosts started, in seconds.
    """

    def __init__(self, started: Collection[float]) -> None:
        self.owners: collections.Counter[str] = collections.Counter()
        fleet = SnapshotCell(
            FleetSnapshot(
                tuple(
                    _peer(f'host-{number}', at)
                    for number, at in enumerate(started, start=1)
                )
            )
        )
        self._maintenance = JobMaintenance(
            host_settings(1, 'host-0'),
            fleet,
            build.host_abilities('host-0', fleet),
            self,
        )

    def hand_over(self, jobs: int, started_at: float) -> None:
        """Hand jobs over; the host has started at a time in seconds."""
        works = [
            JobItemTracker(build.job(f'job-{number}', owner='host-0'))
            for number in range(jobs)
        ]
        self._maintenance.reassign(
            [(work, JobTexts(work.job.job_id, {})) for work in works],
            {work.job.job_id: JobView(work.job) for work in works},
            started_at,
        )

    def reassign(self, owner: str, _unlisted: object, _texts: JobTexts) -> None:
        """Record who gets a job."""
        self.owners[owner] += 1


def text_of(events: int, software: str = '') -> PartialText:
    """Return the text of an item that has written some events."""
    pieces = (f'word {number}'.encode() for number in range(1, events + 1))
    return PartialText(events, tuple(pieces), software)


def texts_of_items(items: int, events: int) -> JobTexts:
    """Return the texts of the first items of a job."""
    return JobTexts(
        'job-1', {f'item-{number}': text_of(events) for number in range(items)}
    )


def runs_of(requests: Iterator[object]) -> dict[str, list[int]]:
    """Return after which event each run of each item went on."""
    runs: dict[str, list[int]] = collections.defaultdict(list)
    for request in requests:
        runs[request.headers['request-id']].append(
            int(request.headers.get('last-event-id', '0'))
        )
    return runs


def _peer(name: str, started: float, address: str = '') -> PeerView:
    started_ms = int(started * _MS_PER_S)
    return PeerView(name, build.ZONE, 'south', address, 'alive', started_ms, 0)
