"""Size and cost of notices between entry hosts, by what they carry."""

from __future__ import annotations

import time

from guavadyke.adapters.clock import SystemClock
from guavadyke.adapters.message_authentication import MessageAuthenticator
from guavadyke.adapters.peer_datagrams import (
    Load,
    LocalStatus,
    PeerDatagrams,
    RejectedMessageLog,
)
from guavadyke.adapters.ports import LimitDemand, OnlineCount, PeerNotice
from guavadyke.decisions.membership_protocol import PeerRecord
from guavadyke.log import EventLogger
from guavadyke.measure.slopes.costs import processor_us

SIZES = (4, 8, 16, 32)
_REPEATS = 200


def count_bytes(engines: int, seed: int) -> float:
    """Return the bytes of a notice of online counts at engines."""
    return len(_packer().pack(Load(notice=_counts(engines))))


def demand_bytes(limits: int, seed: int) -> float:
    """Return the bytes of a notice of demands on limits."""
    return len(_packer().pack(Load(notice=_demands(limits))))


def demand_us(limits: int, seed: int) -> float:
    """Return microseconds of processor time to pack and read demands."""
    sender, receiver = _packer(), _packer()
    notice = _demands(limits)
    return processor_us(
        lambda: receiver.unpack(sender.pack(Load(notice=notice)), ''),
        _REPEATS,
    )


def _counts(engines: int) -> PeerNotice:
    return PeerNotice(
        counts=tuple(
            OnlineCount(f'engine-{number}', number % 8, 0)
            for number in range(engines)
        ),
    )


def _demands(limits: int) -> PeerNotice:
    return PeerNotice(
        demands=tuple(
            LimitDemand(f'owner-{number}/requests_per_s', number * 1.5)
            for number in range(limits)
        ),
    )


def _packer() -> PeerDatagrams:
    clock = SystemClock()
    me = PeerRecord(
        host_id='entry-0',
        zone='zone-0',
        region='region-0',
        address='10.0.0.1:7300',
        incarnation=round(time.time()),
    )
    return PeerDatagrams(
        MessageAuthenticator(b'key of the fleet'),
        LocalStatus(me),
        clock,
        RejectedMessageLog(clock, EventLogger()),
    )
