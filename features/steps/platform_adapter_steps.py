"""Steps of platform_adapter.feature."""

from __future__ import annotations

import json
import re
import tempfile
import tomllib
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from features import builders_users_platform as users
from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.adapters.ports import (
    BackendCall,
    BackendServerError,
    StoredObject,
)
from guavadyke.controllers.retirement_controller import RetirementRequest
from guavadyke.decisions.forward_routes import RouteKind
from guavadyke.errors import (
    GuavadykeError,
    ObjectConflictError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from guavadyke.log import EventLogger
from guavadyke.platform.configuration import ConfigurationDecoder
from guavadyke.platform.engine_adapter import EngineDecoder, EngineDialect
from guavadyke.platform.retirements import (
    RetirementDecoder,
    RetirementStatus,
)
from guavadyke.platform.settings_file import host_settings, read_settings_file
from guavadyke.platform.store import ObjectStore
from guavadyke.settings import PlatformSettings

_ROOT = Path(__file__).resolve().parents[2]
_PACKAGE = _ROOT / 'guavadyke'
_ADAPTER = _PACKAGE / 'platform'
_WIRE_NAMES = (
    'Expect-Instance',
    'Deadline-Ms',
    'Not-Executed',
    'Response-Signature',
    'Prompt-Prefix',
    'Token-Counts',
    'Last-Event-Id',
    'TargetLatencyMs',
    'PathPrefix',
    'MaxWaitS',
    'Provider.Address',
    'dead_letter',
    '/api/objects',
    '/api/lots',
    '/api/readyz',
)


@given('a settings file of the platform')
def step_file(context: Context) -> None:
    context.settings = _read_settings(users.settings_lines())


@given('a settings file of the platform with {change}')
def step_changed_file(context: Context, change: str) -> None:
    key, _equals, text = change.partition('=')
    lines = users.settings_lines(**{key: text})
    context.findings = ()
    try:
        context.settings = _read_settings(lines)
    except GuavadykeError as error:
        context.findings = error.findings


@then('the host is {host_id} in {zone} of {region}')
def step_host(context: Context, host_id: str, zone: str, region: str) -> None:
    found = context.settings
    assert (found.host_id, found.zone, found.region) == (host_id, zone, region)


@then('it listens to callers at port {port:d} and for peers at port {peer:d}')
def step_ports(context: Context, port: int, peer: int) -> None:
    assert context.settings.caller.listen.port == port
    assert context.settings.peer.listen.port == peer


@then('its seeds are peers at port {port:d}')
def step_seeds(context: Context, port: int) -> None:
    seeds = context.settings.peer.seeds
    assert seeds == (f'10.1.0.10:{port}', f'10.2.0.40:{port}')


@then('the time for requests in flight ends before the grace period')
def step_grace(context: Context) -> None:
    stop = context.settings.stop
    longest_s = stop.balancer_delay_s + stop.longest_s
    assert 6 < longest_s < 7


@then('it is rejected with a finding at {place}')
def step_finding(context: Context, place: str) -> None:
    assert [finding.place for finding in context.findings] == [place]


@then('the host has no caller port')
def step_no_callers(context: Context) -> None:
    assert context.settings.caller is None


@given('a configuration with a stream, a batch route and a split')
def step_configuration(context: Context) -> None:
    document = users.configuration(
        users.route(
            'replies',
            users.STREAM_PREFIX,
            'streaming',
            Resumable=True,
            TargetGapMs=250,
        ),
        users.route(
            'digests',
            users.JOB_PREFIX,
            'batch',
            MaxCount=2700000,
            MaxWaitS=60,
            TargetCompleteMs=18000,
        ),
        users.route(
            'bookings',
            '/book/',
            'unsafe',
            Service='',
            TrafficSplit=[
                {'Service': 'one', 'Weight': 90},
                {'Service': 'two', 'Weight': 10},
            ],
        ),
        users.route('later', '/later/', 'of tomorrow'),
        version=7,
    )
    context.found = _read_configuration(json.dumps(document).encode())


@then('its routes match the configuration')
def step_routes(context: Context) -> None:
    stream, batch, bookings, later = context.found.routes
    assert context.found.version == 7
    assert stream.kind is RouteKind.streamed
    assert stream.resumable
    assert stream.repeatable
    assert stream.timeout_s == 5
    assert batch.kind is RouteKind.batch
    assert batch.waiting_tokens == 2700000
    assert batch.abandon_after_s == 60
    assert bookings.kind is RouteKind.non_idempotent
    assert not bookings.repeatable
    assert bookings.services == {'one', 'two'}
    assert later.kind is RouteKind.non_idempotent
    assert context.found.limits.max_body_bytes == 4194304


@when('a configuration with {fault} is read')
def step_read_configuration(context: Context, fault: str) -> None:
    document = users.configuration(version=3)
    if fault == 'no routes':
        document.pop('Routes')
    if fault == 'a wrong version':
        document['Version'] = 'three'
    body = b'\x00\xff' if fault == 'bytes' else json.dumps(document).encode()
    name = 'other' if fault == 'another name' else 'main'
    context.found = _read_configuration(body, name)


@then('it decodes to no configuration')
@then('it decodes to no engine')
def step_decodes_to_none(context: Context) -> None:
    assert context.found is None


@when("an engine's entry with {fault} is read")
def step_read_entry(context: Context, fault: str) -> None:
    changes = {
        'no address': {'Address': None},
        'a host name': {'Address': 'engine.example:80'},
        'slots as text': {'Slots': '8'},
        'another state': {'State': 'dreaming'},
        'an empty service': {'Service': ''},
    }
    entry = users.engine_entry('10.0.0.1:80', **changes.get(fault, {}))
    bodies = {'bytes': b'\x00\xff', 'a list': b'[1]'}
    body = bodies.get(fault, json.dumps(entry).encode())
    stored = StoredObject('servers', 'i-1', 4, body)
    context.found = EngineDecoder(EventLogger())(stored)


@then('the engine has its address, slots and incarnation')
def step_engine(context: Context) -> None:
    assert context.found.server_id == 'i-1'
    assert context.found.address == '10.0.0.1:80'
    assert context.found.slots == 8
    assert context.found.born_ms == 1_700_000_000_000
    assert not context.found.leaving


@then('a call has the headers of the server, the time left and the last event')
def step_headers(_context: Context) -> None:
    call = BackendCall(
        request_id='r-1',
        address='10.0.0.1:80',
        method='POST',
        path='/',
        headers={
            'Host': users.HOST,
            'Model': 'm',
            'Expect-Instance': 'forged',
            'Deadline-Ms': '99999',
        },
        body=b'',
        connect_timeout_s=1,
        first_byte_timeout_s=1,
        gap_timeout_s=1,
        server_id='i-1',
        deadline_s=1.5,
        last_event_id=12,
    )
    assert dict(EngineDialect().request_headers(call)) == {
        'Host': users.HOST,
        'Model': 'm',
        'Request-Id': 'r-1',
        'Expect-Instance': 'i-1',
        'Deadline-Ms': '1500',
        'Last-Event-Id': '12',
        'Accept-Encoding': 'identity',
    }


@then('an answer {status:d} with {header} is {meaning}')
def step_answer_meaning(
    _context: Context,
    status: int,
    header: str,
    meaning: str,
) -> None:
    headers = {} if header == 'nothing' else {header: '1'}
    dialect = EngineDialect()
    not_run = dialect.not_run(status, headers)
    headers = {**headers, 'response-signature': '3e1b'}
    not_run_unproven = (
        bool(dialect.answer_defect(status, headers)) and not not_run
    )
    assert not_run is (meaning == 'proof that nothing ran')
    assert not_run_unproven is (meaning == 'a promise without proof')


@then('no truncation of an answer {framing} is accepted as complete')
def step_truncated(_context: Context, framing: str) -> None:
    head, body = users.answer_parts(framing)
    whole = head + body
    # Without a framing header, the body ends with the connection, so that
    # only a truncated head can be detected.
    last = len(head) if framing == 'to the end' else len(whole)
    with users.TruncatingServer(whole) as server:
        accepted = [
            length
            for length in range(last + 1)
            if _accepted_body(server, length) not in {None, users.EVENT}
        ]
        assert not accepted, accepted
        assert _accepted_body(server, len(whole)) == users.EVENT


@given('a store of the platform')
def step_store(context: Context) -> None:
    context.users_store = users.UsersStore()
    context.add_cleanup(context.users_store.close)
    settings = PlatformSettings(
        url=f'http://{context.users_store.address}',
        call_timeout_s=1,
    )
    context.store = ObjectStore(settings, 'front-1', EventLogger())


@then('objects follow the contract of the platform store')
def step_objects(context: Context) -> None:
    store = context.store
    first = store.create('own', 'a', b'one')
    assert store.read('own', 'a') == first
    _assert_conflict(lambda: store.create('own', 'a', b'two'))
    second = store.update('own', 'a', b'two', first.version)
    _assert_conflict(lambda: store.update('own', 'a', b'x', first.version))
    _assert_conflict(lambda: store.update('own', 'absent', b'x', 3))
    for name in 'bcdefg':
        store.create('own', name, name.encode())
    names = []
    more = True
    while more:
        page = store.list_objects('own', after=names[-1] if names else '')
        names.extend(listed.name for listed in page.objects)
        more = page.more
    assert names == list('abcdefg')
    store.delete('own', 'a', second.version)
    assert store.read('own', 'a') is None
    foreign = context.users_store.put('config', 'main', {'Version': 3})
    found = store.read('config', 'main')
    assert found.version == foreign
    assert json.loads(found.body) == {'Version': 3}


@then('a write that is answered {first:d} or {second:d} counts as not done')
def step_rejected(context: Context, first: int, second: int) -> None:
    for status in (first, second):
        context.users_store.refusals = [status]
        try:
            context.store.create('own', 'refused', b'')
        except PlatformUnavailableError:
            continue
        raise AssertionError(f'{status} was treated as success')
    assert not context.users_store.names('own')


@then('a write whose answer is lost counts as unknown')
def step_lost(context: Context) -> None:
    context.users_store.lost_answers = 1
    try:
        context.store.create('own', 'lost', b'')
    except PlatformOutcomeUnknownError:
        assert context.users_store.names('own') == ['lost']
        return
    raise AssertionError('a lost answer was treated as success')


@then('a watch returns changes and deletions with their versions')
def step_watch(context: Context) -> None:
    store = context.store
    since = store.list_objects('own').revision
    first = store.create('own', 'a', b'one')
    store.delete('own', 'a', first.version)
    answer = store.watch('own', since, 0.1)
    created, removed = answer.events
    assert created.current == first
    assert removed.current is None
    assert answer.revision == removed.version
    assert created.version < removed.version
    assert not store.watch('own', answer.revision, 0.05).events


@then('a retirement is decoded, and its completion is written as its status')
def step_retirement(context: Context) -> None:
    context.users_store.put('retirements', 'store-1', {'DurationS': 10})
    decode = RetirementDecoder(EventLogger())
    request = decode(context.store.read('retirements', 'store-1'))
    assert request == RetirementRequest('store-1', 10)
    assert decode(StoredObject('retirements', 'x', 1, b'[]')) is None
    status = RetirementStatus(context.store)
    assert not status.is_completed('store-1')
    status('store-1')
    written = context.users_store.statuses['retirements', 'store-1']
    assert written == {'State': 'completed'}
    assert status.is_completed('store-1')


@then('no other module contains wire names')
def step_wire_names(_context: Context) -> None:
    found = [
        (path.name, name)
        for path in _PACKAGE.rglob('*.py')
        if _ADAPTER not in path.parents
        for name in _WIRE_NAMES
        # Guavadyke's own headers may end with such a name after a prefix.
        if re.search(
            rf'(?<![\w-]){re.escape(name)}',
            path.read_text(encoding='utf-8'),
            re.IGNORECASE,
        )
    ]
    assert not found, found


@then('no other module imports the adapter')
def step_no_adapter_imports(_context: Context) -> None:
    found = [
        path.name
        for path in _PACKAGE.rglob('*.py')
        if _ADAPTER not in path.parents
        and 'guavadyke.platform' in path.read_text(encoding='utf-8')
    ]
    assert not found, found


@then('the pinned requirements are those that the project declares')
def step_requirements(_context: Context) -> None:
    project = tomllib.loads((_ROOT / 'pyproject.toml').read_text())
    declared = project['project']['dependencies']
    pinned = (_ROOT / 'requirements.txt').read_text().split()
    assert pinned == declared


def _accepted_body(server: users.TruncatingServer, length: int) -> bytes | None:
    """Return the body if the call succeeds, else None."""
    server.length = length
    servers = HttpBackendServers(dialect=EngineDialect())
    call = BackendCall(
        request_id='r-1',
        address=server.address,
        method='POST',
        path='/',
        headers={},
        body=b'',
        connect_timeout_s=1,
        first_byte_timeout_s=1,
        gap_timeout_s=1,
        fresh=True,
    )
    try:
        answer = servers.send(call)
        body = b''.join(answer.chunks())
    except BackendServerError:
        return None
    return body if answer.status == 200 else None


def _read_settings(lines: str) -> object:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'node.conf'
        path.write_text(lines, encoding='utf-8')
        return host_settings(read_settings_file(path))


def _read_configuration(body: bytes, name: str = 'main') -> object:
    stored = StoredObject('config', name, 9, body)
    return ConfigurationDecoder(EventLogger())(stored)


def _assert_conflict(call: object) -> None:
    try:
        call()
    except ObjectConflictError:
        return
    raise AssertionError('the call caused no conflict')
