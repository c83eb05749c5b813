"""Size and CPU cost of notices between entry hosts, by their content."""

from __future__ import annotations

import itertools
import time

from guavadyke.adapters.clock import SystemClock
from guavadyke.adapters.message_authentication import MessageAuthenticator
from guavadyke.adapters.peer_datagrams import (
    DatagramContent,
    LocalStatus,
    PeerDatagrams,
    RejectedMessageLog,
)
from guavadyke.adapters.ports import LimitDemand, OnlineCount, PeerNotice
from guavadyke.decisions.membership_protocol import PeerRecord
from guavadyke.decisions.remote_counts import RemoteCounts
from guavadyke.log import EventLogger
from guavadyke.measure.slopes.costs import cpu_us

SIZES = (4, 8, 16, 32)
HOST_SIZES = (15, 60, 118, 390)
_REPEATS = 200


def counts_notice_bytes(engines: int, seed: int) -> float:
    """Return the bytes of a notice with online counts of engines."""
    return len(
        _peer_datagrams().pack(DatagramContent(notice=_counts_notice(engines)))
    )


def demands_notice_bytes(limits: int, seed: int) -> float:
    """Return the bytes of a notice with demands on limits."""
    return len(
        _peer_datagrams().pack(DatagramContent(notice=_demands_notice(limits)))
    )


def demands_notice_us(limits: int, seed: int) -> float:
    """Return the CPU time to pack and unpack such a notice, in us."""
    sender, receiver = _peer_datagrams(), _peer_datagrams()
    notice = _demands_notice(limits)
    return cpu_us(
        lambda: receiver.unpack(
            sender.pack(DatagramContent(notice=notice)), ''
        ),
        _REPEATS,
    )


def received_count_us(hosts: int, seed: int) -> float:
    """Return the CPU time to record a count that a host announces, in us.

    All hosts have announced a count for the same engine just before.
    """
    counts = RemoteCounts()
    numbers = itertools.count()

    def receive() -> None:
        number = next(numbers)
        counts.record_count(f'entry-{number % hosts}', 'engine', 1, 0)

    for _ in range(hosts):
        receive()
    return cpu_us(receive, _REPEATS)


def _counts_notice(engines: int) -> PeerNotice:
    return PeerNotice(
        counts=tuple(
            OnlineCount(f'engine-{number}', number % 8, 0)
            for number in range(engines)
        ),
    )


def _demands_notice(limits: int) -> PeerNotice:
    return PeerNotice(
        demands=tuple(
            LimitDemand(f'owner-{number}/requests_per_s', number * 1.5)
            for number in range(limits)
        ),
    )


def _peer_datagrams() -> PeerDatagrams:
    clock = SystemClock()
    own_record = PeerRecord(
        host_id='entry-0',
        zone='zone-0',
        region='region-0',
        address='10.0.0.1:7300',
        incarnation=round(time.time()),
    )
    return PeerDatagrams(
        MessageAuthenticator(b'key of the fleet'),
        LocalStatus(own_record),
        clock,
        RejectedMessageLog(clock, EventLogger()),
    )
