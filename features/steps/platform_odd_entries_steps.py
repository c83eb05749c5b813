"""Steps of platform_odd_entries.feature."""

from __future__ import annotations

import json
import types

import hypothesis
from behave import given, then, when
from behave.runner import Context
from hypothesis import strategies as st

from features import builders_odd_answers as answers
from features import builders_users_platform as users
from guavadyke.log import EventLogger
from guavadyke.platform.engine_adapter import ENGINE_KIND, EngineDecoder
from guavadyke.platform.store import ObjectStore
from guavadyke.settings import PlatformSettings

_DEPTH = 100_000
_EXAMPLES = 60
_DIGITS = 6000
_WATCH_S = 1.0
_ENGINE_ADDRESS = '127.0.0.1:8000'


def _with_number(field: str, number: str) -> str:
    entry = users.engine_entry(_ENGINE_ADDRESS, **{field: 'NUMBER'})
    return json.dumps(entry).replace('"NUMBER"', number)


_ODD_SPECS = types.MappingProxyType({
    'very deeply nested': '[' * _DEPTH + ']' * _DEPTH,
    'with a number of 6,000 digits': _with_number('Slots', '9' * _DIGITS),
    'with an infinite number': _with_number('Slots', '1e999'),
    'with a start beyond 64 bits': _with_number('born', str(2**70)),
    'with a port out of range': json.dumps(
        users.engine_entry('127.0.0.1:70000')
    ),
    'with an address that is no IP': json.dumps(
        users.engine_entry('999.0.0.1:8000')
    ),
    'no object': '"text"',
    'with half of a surrogate pair': (
        r'{"Service": "labels", "Note": "shepherd \ud83d", "Slots": "?"}'
    ),
    'nested 250 levels deep': '[' * 250 + ']' * 250,
    'nested 900 levels deep': '[' * 900 + ']' * 900,
    'a text of a megabyte': f'"{"x" * 1_000_000}"',
    'no JSON': '{"Service": tru}',
})


@given('a store with the entries of two engines')
def step_store(context: Context) -> None:
    context.users_store = users.UsersStore()
    context.add_cleanup(context.users_store.close)
    for name in ('i-1', 'i-2'):
        context.users_store.put(
            ENGINE_KIND, name, users.engine_entry(_ENGINE_ADDRESS)
        )
    context.store = ObjectStore(
        PlatformSettings(url=f'http://{context.users_store.address}'),
        'host-1',
        EventLogger(),
    )
    context.revision = context.store.list_objects(ENGINE_KIND).revision


@when('another writer leaves an entry that is {odd}')
def step_odd(context: Context, odd: str) -> None:
    context.users_store.put_raw(ENGINE_KIND, 'a-odd', _ODD_SPECS[odd])


@when('another writer leaves every kind of odd entry')
def step_all_odd(context: Context) -> None:
    for number, spec in enumerate(_ODD_SPECS.values()):
        context.fleet.store.put_raw(ENGINE_KIND, f'a-odd-{number}', spec)


@when('the entry of the first engine becomes very deeply nested')
def step_becomes_odd(context: Context) -> None:
    context.users_store.put_raw(
        ENGINE_KIND, 'i-1', _ODD_SPECS['very deeply nested']
    )


@then('both engines are listed, and it is not')
def step_listed(context: Context) -> None:
    assert _usable(context) == {'i-1', 'i-2'}, _usable(context)


@then('whatever lies beside two engines, a {call} shows these and no other')
def step_generated(context: Context, call: str) -> None:
    store = ObjectStore(
        PlatformSettings(url='http://127.0.0.1:1'), 'host-1', EventLogger()
    )
    decode = EngineDecoder(EventLogger())

    @hypothesis.settings(
        max_examples=_EXAMPLES, deadline=None, derandomize=True
    )
    @hypothesis.given(
        st.lists(answers.odd_elements(), max_size=3), st.integers()
    )
    def check(odd_elements: list[bytes], place: int) -> None:
        elements = [answers.sound_element('i-1'), *odd_elements]
        elements.insert(place % len(elements) + 1, answers.sound_element('i-2'))
        if call == 'list':
            store._calls = answers.fixed_calls(answers.listing(elements))
            shown = store.list_objects(ENGINE_KIND).objects
        else:
            store._calls = answers.fixed_calls(answers.changes(elements))
            events = store.watch(ENGINE_KIND, 1, 1).events
            shown = [event.current for event in events]
        usable = [one.name for one in shown if decode(one) is not None]
        assert usable == ['i-1', 'i-2'], usable

    check()


@then('a read of it returns an object without contents')
def step_read(context: Context) -> None:
    stored = context.store.read(ENGINE_KIND, 'a-odd')
    assert stored.name == 'a-odd'
    assert not stored.body, stored
    assert stored.version > 0


@then('a watch tells of a third engine that is added later')
def step_watched(context: Context) -> None:
    context.users_store.put(
        ENGINE_KIND, 'i-3', users.engine_entry(_ENGINE_ADDRESS)
    )
    answer = context.store.watch(ENGINE_KIND, context.revision, _WATCH_S)
    told = {event.name for event in answer.events}
    assert answer.expired or 'i-3' in told, answer
    assert 'i-3' in _usable(context)


@then('a watch or a list shows that it is gone')
def step_gone(context: Context) -> None:
    answer = context.store.watch(ENGINE_KIND, context.revision, _WATCH_S)
    decode = EngineDecoder(EventLogger())
    kept = [
        event
        for event in answer.events
        if event.name == 'i-1'
        and event.current is not None
        and decode(event.current)
    ]
    assert not kept, kept
    assert answer.expired or answer.events, answer
    assert _usable(context) == {'i-2'}, _usable(context)


@then('the daemon has started once')
def step_started_once(context: Context) -> None:
    log = context.fleet.daemons[0].log
    assert log.count('event=host_started') == 1, log
    assert 'Traceback' not in log, log[log.index('Traceback') :]


def _usable(context: Context) -> set[str]:
    decode = EngineDecoder(EventLogger())
    after = ''
    names: set[str] = set()
    while True:
        page = context.store.list_objects(ENGINE_KIND, after=after)
        names.update(
            stored.name for stored in page.objects if decode(stored) is not None
        )
        if not page.more:
            return names
        after = page.objects[-1].name
