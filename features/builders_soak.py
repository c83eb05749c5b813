"""Histories of soaks in which a promise is broken or nearly so."""

from __future__ import annotations

import types
from collections.abc import Callable, Mapping

from features import builders_soak_items
from features.soak_history import Call, EngineEnd, History, Run, Trouble

_HOSTS = 3
_PATH = '/added0/'
_ENGINE = 'i-1'
_CHANGED_S = 10.0


def _call(kind: str, status: int, sent_s: float, **fields: bool) -> Call:
    return Call(kind, 'r-1', 0, _PATH, sent_s, sent_s + 0.1, status, **fields)


def _probed(
    *probes: tuple[float, int], troubles: tuple[Trouble, ...] = ()
) -> History:
    calls = [_call('probe', status, sent_s) for sent_s, status in probes]
    return History(
        _HOSTS,
        calls=calls,
        routes={_PATH: _CHANGED_S},
        troubles=list(troubles),
    )


def _ran_after(left_s: float, *troubles: Trouble) -> History:
    run = Run('r-1', _ENGINE, _CHANGED_S + left_s)
    return History(
        _HOSTS,
        runs=[run],
        left={_ENGINE: _CHANGED_S},
        troubles=list(troubles),
    )


def _trouble(kind: str, *hosts: int) -> Trouble:
    return Trouble(kind, _CHANGED_S + 0.5, _CHANGED_S + 1.5, frozenset(hosts))


def _once(status: int, *engines: str) -> History:
    runs = [Run('r-1', engine, 1.1) for engine in engines]
    return History(_HOSTS, calls=[_call('once', status, 1)], runs=runs)


def _kept_cut(*troubles: Trouble) -> History:
    return History(
        _HOSTS,
        calls=[_call('kept', 0, _CHANGED_S + 1)],
        runs=[Run('r-1', _ENGINE, _CHANGED_S + 1)],
        troubles=list(troubles),
    )


def _kept_ended(cut: str) -> History:
    history = _kept_cut(_trouble('engine_wave'))
    ended = EngineEnd(_ENGINE, _CHANGED_S + 1, '', requests=frozenset((cut,)))
    history.ends.append(ended)
    return history


def _under_key(sent_s: float, key: str, **run: object) -> History:
    call = Call('team', 'r-1', 0, _PATH, sent_s, sent_s + 0.1, 200, key=key)
    return History(
        _HOSTS,
        calls=[call],
        runs=[Run('r-1', _ENGINE, sent_s, **{'team': 'birch', **run})],
        teams={'kept': 'amber', 'removed': 'birch'},
        key_removed_s=_CHANGED_S,
    )


def _listed(*results: str) -> History:
    return History(_HOSTS, items=['item-0'], results=list(results))


BROKEN: Mapping[str, Callable[[], History]] = types.MappingProxyType({
    "a caller gets another request's events": lambda: History(
        _HOSTS, calls=[_call('stream', 200, 1, own=False)]
    ),
    'two engines run a request that may run once': lambda: _once(
        502, 'i-1', 'i-2'
    ),
    'a request runs that was refused as not run': lambda: _once(503, 'i-1'),
    'a stop cuts a request on a kept connection': lambda: _kept_cut(
        _trouble('restarted', 0)
    ),
    'a route is not served in time': lambda: _probed((12.3, 404)),
    'a route is served and then not': lambda: _probed((11, 200), (11.5, 404)),
    'a host that was paused learns too late': lambda: _probed(
        (13.8, 404), troubles=(_trouble('paused', 0),)
    ),
    'an engine gets requests long after it left': lambda: _ran_after(2.3),
    'an item is not listed': _listed,
    'an item is listed twice': lambda: _listed('item-0', 'item-0'),
    'a process ends by itself': lambda: History(
        _HOSTS, ended=['front-1 ended by itself']
    ),
    'a request is not served after all faults': lambda: History(
        _HOSTS, calls=[_call('last', 503, 30)]
    ),
    'a request is cut beside an engine that ends': lambda: _kept_ended('r-2'),
    'a removed key is served after its bound': lambda: _under_key(
        15.4, 'removed'
    ),
    'an engine sees a key': lambda: _under_key(1, 'removed', key_seen=True),
    'a request runs for another team': lambda: _under_key(1, 'kept'),
    'a valid key is rejected': lambda: History(
        _HOSTS, calls=[_call('stream', 401, 1)]
    ),
    **builders_soak_items.BROKEN,
})
ALLOWED: Mapping[str, Callable[[], History]] = types.MappingProxyType({
    'a route is not served yet': lambda: _probed((12.1, 404), (12.2, 200)),
    'a paused host has just gone on': lambda: _probed(
        (13, 404), troubles=(_trouble('paused', 0),)
    ),
    'no host hears the platform for a while': lambda: _ran_after(
        3, _trouble('platform_silent', 0, 1), _trouble('killed', 2)
    ),
    'an engine gets requests when it has just left': lambda: _ran_after(2),
    'a refused request never ran': lambda: _once(503),
    'a killed host cuts a request on a kept connection': lambda: _kept_cut(
        _trouble('killed', 0)
    ),
    'the run of a request is unknown': lambda: _once(502, 'i-1'),
    'an item is listed once': lambda: _listed('item-0'),
    'an engine that ends cuts its requests': lambda: _kept_ended('r-1'),
    'a removed key is served before its bound': lambda: _under_key(
        15.2, 'removed'
    ),
    **builders_soak_items.ALLOWED,
})
