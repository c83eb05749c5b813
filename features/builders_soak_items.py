"""Histories of soaks in which a promise on items is broken or nearly so."""

from __future__ import annotations

import types
from collections.abc import Callable, Mapping

from features.soak_bounds import item_text
from features.soak_history import (
    EngineEnd,
    History,
    ListedItem,
    Listing,
    Run,
    SoakItem,
    SoakJob,
    Trouble,
)

_HOSTS = 3
_JOB = 'job-1'
_ITEM = 'job-1.0'
_PART = 'part-1'
_BODY = 'item-1'
_REQUEST = 'request-1'
_CALM_S = 20.0
# When its last fault is over, an item is owed 18 s later.
_OWED_S = 38.0
_LONG_S = 100.0


def _whole(item_id: str = _ITEM) -> ListedItem:
    return ListedItem(item_id, 'completed', item_text(item_id))


def _listing(
    read_s: float, *listed: ListedItem, final: bool = False
) -> Listing:
    return Listing(_JOB, 0, read_s, listed, final)


def _read_at(
    sent_s: float, *listed: ListedItem, host: int = 0, unknown: bool = False
) -> Listing:
    return Listing(
        _JOB, host, sent_s + 0.1, listed, sent_s=sent_s, unknown=unknown
    )


def _read_less(sent_s: float, *troubles: Trouble) -> History:
    """Return a read of nothing at a host after another had listed an item."""
    history = _history(_read_at(5, _whole()), _read_at(sent_s, host=1))
    history.troubles.extend(troubles)
    return history


def _history(
    *listings: Listing,
    ends: tuple[EngineEnd, ...] = (),
    read_until_s: float = 0,
    cancelled_s: float | None = None,
    calm_s: float = _CALM_S,
) -> History:
    job = SoakJob(_JOB, (SoakItem(_ITEM, (_PART, _BODY)),), 1)
    if cancelled_s is not None:
        job.end_asked = True
        job.ended_s = cancelled_s
    return History(
        _HOSTS,
        jobs=[job],
        listings=list(listings),
        ends=list(ends),
        calm_s=calm_s,
        read_until_s=read_until_s,
    )


def _held_from(*ended_s: float) -> tuple[EngineEnd, ...]:
    """Return ends of engines that were answering another item of the part."""
    return tuple(
        EngineEnd(f'i-{at_s}', at_s, '', frozenset((_PART,)))
        for at_s in ended_s
    )


def _crashes(
    name: str, *ended_s: float, troubles: tuple[Trouble, ...] = ()
) -> History:
    ends = [
        EngineEnd(f'i-{at_s}', at_s, name, frozenset((name,)))
        for at_s in ended_s
    ]
    return History(_HOSTS, ends=ends, troubles=list(troubles))


def _started(at_s: float, *troubles: Trouble) -> History:
    history = _history(cancelled_s=10)
    history.runs.append(Run(_ITEM, 'i-1', at_s))
    history.troubles.extend(troubles)
    return history


def _cut_off(from_s: float, until_s: float) -> Trouble:
    return Trouble('platform_silent', from_s, until_s, frozenset((1,)))


BROKEN: Mapping[str, Callable[[], History]] = types.MappingProxyType({
    'an item of an open job is never listed': lambda: _history(
        read_until_s=_OWED_S + 0.1
    ),
    'an item is listed long after all faults': lambda: _history(
        _listing(_OWED_S + 1.5, _whole())
    ),
    'an item waits long after its trial is due': lambda: _history(
        ends=_held_from(18, 18.2, 18.4, 23.5), read_until_s=43.6
    ),
    'a result that was read is not listed at the end': lambda: _history(
        _listing(2, _whole()), _listing(30, final=True)
    ),
    'a host lists fewer results than another had listed': lambda: _read_less(
        6.2
    ),
    'a host lists fewer results while another is paused': lambda: _read_less(
        6.2, Trouble('paused', 2, 9, frozenset((0,)))
    ),
    'a host does not know a job that was accepted': lambda: _history(
        _read_at(2.1, unknown=True)
    ),
    'an item stands at two positions': lambda: _history(
        _listing(2, _whole(), _whole())
    ),
    'a position holds another result than before': lambda: _history(
        _listing(2, _whole('job-1.1')), _listing(3, _whole())
    ),
    'an item has half of its text': lambda: _history(
        _listing(2, ListedItem(_ITEM, 'completed', f'{_ITEM} 1'))
    ),
    'an item is given up in its first minute': lambda: _history(
        _listing(2, ListedItem(_ITEM, 'dead_letter', ''))
    ),
    'an item starts long after its job was cancelled': lambda: _started(13.3),
    'a fourth engine ends under a part before its trial': lambda: _crashes(
        _PART, 1, 1.2, 1.4, 6
    ),
    'two engines end in one trial of a part': lambda: _crashes(
        _PART, 1, 1.2, 1.4, 6.5, 6.6
    ),
    'a fourth engine ends under an item before its trial': lambda: _crashes(
        _BODY, 1, 1.2, 1.4, 11
    ),
    'a fourth engine ends under a request within ten minutes': lambda: _crashes(
        _REQUEST, 1, 1.2, 1.4, _LONG_S
    ),
    'a fourth engine ends under a part long after a host was cut off': lambda: (
        _crashes(_PART, 1, 1.2, 1.4, 5.5, troubles=(_cut_off(1, 3),))
    ),
})
ALLOWED: Mapping[str, Callable[[], History]] = types.MappingProxyType({
    'an item of a cancelled job is never listed': lambda: _history(
        read_until_s=_LONG_S, cancelled_s=10
    ),
    'a result is not listed yet by another host': lambda: _read_less(6),
    'a host that has just been cut off lists fewer results': lambda: _read_less(
        6.2, _cut_off(5, 5.5)
    ),
    'a host does not know a job yet': lambda: _history(
        _read_at(1.9, unknown=True)
    ),
    'an item waits for the trial of its part': lambda: _history(
        ends=_held_from(18, 18.2, 18.4, 23.5), read_until_s=43.4
    ),
    'an item that failed lately is not listed': lambda: _history(
        ends=(EngineEnd('i-1', 25, '', requests=frozenset((_ITEM,))),),
        read_until_s=44.9,
    ),
    'an item is given up after its longest wait': lambda: _history(
        _listing(61.1, ListedItem(_ITEM, 'dead_letter', '')), calm_s=50
    ),
    'an item starts when its job has just been cancelled': lambda: _started(13),
    'a host that was cut off starts an item of a cancelled job': lambda: (
        _started(14.9, _cut_off(11, 12))
    ),
    'engines end under a part at once': lambda: _crashes(
        _PART, 1, 1.2, 1.4, 1.6, 3.5
    ),
    'each trial of a part costs an engine': lambda: _crashes(
        _PART, 1, 1.2, 1.4, 6.4, 16.4, 36.4
    ),
    'a host that was cut off sends on a part that crashes engines': lambda: (
        _crashes(_PART, 1, 1.2, 1.4, 4.9, troubles=(_cut_off(1, 3),))
    ),
    'a killed host has told nobody of an engine': lambda: _crashes(
        _PART,
        1,
        1.2,
        1.4,
        5,
        troubles=(Trouble('killed', 1.5, 3, frozenset((0,))),),
    ),
})
