"""Steps of fleet_catalogue.feature."""

import threading

from behave import step
from behave.runner import Context

from features import builders_fleet as fleets

_REASON = 'the line is busier'


@step('a fleet of entry hosts in zones north and south')
def step_fleet(context: Context) -> None:
    _start_fleet(context, relist_interval_s=2)


@step('a fleet of entry hosts that rarely make full lists')
def step_rare_lists(context: Context) -> None:
    _start_fleet(context, relist_interval_s=120)


def _start_fleet(context: Context, relist_interval_s: float) -> None:
    context.platform = fleets.MemoryPlatform()
    context.servers = fleets.MemoryServers()
    context.hosts = fleets.start_fleet(
        context.platform,
        context.servers,
        {'north': 2, 'south': 1},
        relist_interval_s=relist_interval_s,
    )
    for started in context.hosts:
        context.add_cleanup(started.close)
    fleets.eventually(
        lambda: all(len(host.alive()) == 2 for host in context.hosts),
        'all hosts list each other',
    )


def put(host, name, document, **headers):
    return host.operator.call('PUT', f'catalogue/{name}', document, **headers)


@step('an operator puts the owner "{owner}" and the entry "{name}"')
def step_put(context: Context, owner: str, name: str) -> None:
    host = context.hosts[0]
    answer = put(host, owner, fleets.owner_entry())
    assert answer.status == 201, answer.data
    answer = put(host, name, fleets.model_entry(owner))
    assert answer.status == 201, answer.data
    assert answer.headers['ETag'] == '"1"'
    assert name in host.service.catalogue.current.entries


@step('an operator puts the entry "{name}" again on another host')
def step_put_again(context: Context, name: str) -> None:
    answer = put(
        context.hosts[2],
        name,
        fleets.model_entry(version='2'),
        If_Match='"1"',
        Guavadyke_Operator='ada',
        Guavadyke_Reason=_REASON,
    )
    assert answer.status == 200, answer.data


@step('the catalogue of every host holds "{name}" at version {version:d}')
def step_in_force_everywhere(context: Context, name: str, version: int) -> None:
    fleets.eventually(
        lambda: all(
            host.service.catalogue.current.versions.get(name) == version
            for host in context.hosts
        ),
        f'{name} at {version} everywhere',
    )


@step('the history of "{name}" records who, when, why, before and after')
def step_history(context: Context, name: str) -> None:
    answer = context.hosts[1].operator.call(
        'GET',
        f'catalogue/{name}/history',
    )
    newest, oldest = answer.json()['changes']
    assert newest['who'] == 'ada'
    assert newest['why'] == _REASON
    assert newest['at'] > oldest['at']
    assert newest['before'] == oldest['after']
    assert newest['after']['version'] == '2'
    audit = context.hosts[1].operator.call('GET', 'audit').json()['changes']
    assert [change['name'] for change in audit].count(name) == 2


@step('two operators concurrently edit "{name}" at version {version:d}')
def step_concurrent_edits(context: Context, name: str, version: int) -> None:
    context.answers = []

    def edit(host: fleets.EntryHost, model: str) -> None:
        document = fleets.model_entry(model=model)
        answer = put(host, name, document, If_Match=f'"{version}"')
        context.answers.append(answer)

    threads = [
        threading.Thread(target=edit, args=(host, f'model-{index}'))
        for index, host in enumerate(context.hosts[:2])
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@step(
    'one edit is accepted and the other is answered 412 with version '
    '{version:d}',
)
def step_one_accepted(context: Context, version: int) -> None:
    answers = {answer.status: answer for answer in context.answers}
    assert set(answers) == {200, 412}, answers
    assert answers[412].headers['ETag'] == f'"{version}"'
    assert answers[412].json()['version'] == version
    assert answers[412].json()['error']['run'] == 'not_run'


@step('an operator puts an entry with an unknown owner and an invalid class')
def step_wrong_entry(context: Context) -> None:
    document = fleets.model_entry('nobody')
    document['class'] = 'sometimes'
    context.answer = put(context.hosts[0], 'report', document)


@step('an operator puts an entry with an unknown owner')
def step_unknown_owner(context: Context) -> None:
    document = fleets.model_entry('nobody')
    context.answer = put(context.hosts[0], 'report', document)


@step('the edit is answered 400 with findings at "{place}"')
def step_findings_at(context: Context, place: str) -> None:
    assert context.answer.status == 400, context.answer.data
    findings = context.answer.json()['error']['findings']
    assert {finding['place'] for finding in findings} == {place}, findings


@step(
    'the operator port answers 401 without a token and 403 with a wrong one',
)
def step_token(context: Context) -> None:
    port = context.hosts[0].http.port
    for token, status in (('', 401), ('wrong', 403)):
        client = fleets.OperatorClient(port, token)
        for method, path in (
            ('GET', 'catalogue'),
            ('PUT', 'catalogue/x'),
            ('GET', 'fleet'),
            ('POST', 'backend-servers/x/drain'),
        ):
            answer = client.call(method, path, {})
            assert answer.status == status, (method, path, answer.status)
            assert answer.json()['error']['run'] == 'not_run'


@step('an operator deletes the entry "{name}" at version {version:d}')
def step_delete(context: Context, name: str, version: int) -> None:
    answer = context.hosts[0].operator.call(
        'DELETE',
        f'catalogue/{name}',
        If_Match=f'"{version}"',
    )
    assert answer.status == 200, answer.data


@step('no host holds "{name}"')
def step_no_host_holds(context: Context, name: str) -> None:
    fleets.eventually(
        lambda: (
            not any(
                name in host.service.catalogue.current.entries
                for host in context.hosts
            )
        ),
        f'{name} is nowhere',
    )
    answer = context.hosts[1].operator.call('GET', f'catalogue/{name}')
    assert answer.status == 404


@step('the history still records the deletion of "{name}"')
def step_deletion_recorded(context: Context, name: str) -> None:
    answer = context.hosts[1].operator.call(
        'GET',
        f'catalogue/{name}?history=1',
    )
    newest = answer.json()['changes'][0]
    assert (newest['what'], newest['after']) == ('delete', None)


@step('the platform loses the response to the next edit of "{name}"')
def step_lost_answer(context: Context, name: str) -> None:
    host = context.hosts[0]
    host.link.lost_answers = 1
    context.answer = put(
        host,
        name,
        fleets.model_entry(version='2'),
        If_Match='"1"',
    )
    assert host.link.lost_answers == 0


@step('the edit was accepted once and the history shows it once')
def step_accepted_once(context: Context) -> None:
    assert context.answer.status == 200, context.answer.data
    answer = context.hosts[0].operator.call('GET', 'catalogue/report/history')
    versions = [change['version'] for change in answer.json()['changes']]
    assert versions == [2, 1]


@step('an operator edits an owner with many keys {count:d} times')
def step_many_edits(context: Context, count: int) -> None:
    keys = [f'{number:064x}' for number in range(600)]
    for number in range(count):
        document = {'kind': 'owner', 'key_hashes': keys[number:]}
        answer = put(
            context.hosts[number % 3],
            'lammikko',
            document,
            **({'If_Match': f'"{number}"'} if number else {}),
        )
        assert answer.status in {200, 201}, answer.data


@step('the history of the owner holds all {count:d} edits')
def step_whole_history(context: Context, count: int) -> None:
    answer = context.hosts[0].operator.call(
        'GET',
        'catalogue/lammikko/history',
    )
    versions = [change['version'] for change in answer.json()['changes']]
    assert versions == list(range(count, 0, -1)), versions


@step('no object on the platform is larger than a megabyte')
def step_bounded_objects(context: Context) -> None:
    sizes = {
        key: len(stored.body)
        for key, stored in context.platform.objects.items()
    }
    assert max(sizes.values()) < 1_000_000, sizes
    assert any(kind == 'catalogue-history' for kind, _name in sizes)
