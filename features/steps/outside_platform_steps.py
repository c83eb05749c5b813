"""Steps of outside_platform.feature."""

from __future__ import annotations

import threading

from behave import given, then, when
from behave.runner import Context

from features import builders_outside as builders
from guavadyke.errors import ErrorCode, GuavadykeError, ObjectConflictError
from guavadyke.standins.platform import PlatformStandin

KIND = 'thing'


@given('a platform stand-in with a store')
def step_platform(context: Context) -> None:
    standin = PlatformStandin(ip=builders.LOOPBACK)
    standin.start()
    context.add_cleanup(standin.close)
    context.platform = standin
    context.store = builders.platform_store(standin)


@when('the platform object "{name}" is created with "{text}"')
def step_create(context: Context, name: str, text: str) -> None:
    context.store.create(KIND, name, text.encode())


@when(
    'the platform object "{name}" is updated'
    ' from version {version:d} to "{text}"',
)
def step_update(context: Context, name: str, version: int, text: str) -> None:
    context.store.update(KIND, name, text.encode(), version)


@when('the platform object "{name}" is deleted at version {version:d}')
def step_delete(context: Context, name: str, version: int) -> None:
    context.store.delete(KIND, name, version)


def _assert_conflict(error: GuavadykeError, version: int) -> None:
    assert isinstance(error, ObjectConflictError), error
    assert error.current_version == version, error.current_version


def _refused_write(write: object, *arguments: object) -> GuavadykeError:
    try:
        write(*arguments)
    except GuavadykeError as error:
        return error
    raise AssertionError('the write was accepted')


@then(
    'creating platform object "{name}" again conflicts with version {version:d}'
)
def step_create_conflict(context: Context, name: str, version: int) -> None:
    error = _refused_write(context.store.create, KIND, name, b'x')
    _assert_conflict(error, version)


@then(
    'updating platform object "{name}" from version {old:d}'
    ' conflicts with version {version:d}',
)
def step_update_conflict(
    context: Context,
    name: str,
    old: int,
    version: int,
) -> None:
    error = _refused_write(context.store.update, KIND, name, b'x', old)
    _assert_conflict(error, version)


@then(
    'deleting platform object "{name}" at version {old:d}'
    ' conflicts with version {version:d}',
)
def step_delete_conflict(
    context: Context,
    name: str,
    old: int,
    version: int,
) -> None:
    error = _refused_write(context.store.delete, KIND, name, old)
    _assert_conflict(error, version)


@then('the platform object "{name}" holds "{text}" at version {version:d}')
def step_holds(context: Context, name: str, text: str, version: int) -> None:
    stored = context.store.read(KIND, name)
    assert stored.body == text.encode(), stored
    assert stored.version == version, stored


@then('the platform object "{name}" is absent')
def step_absent(context: Context, name: str) -> None:
    assert context.store.read(KIND, name) is None


@when(
    '{count:d} platform objects are created under "{prefix}"'
    ' and one under "{other}"',
)
def step_many(context: Context, count: int, prefix: str, other: str) -> None:
    context.store.create(KIND, f'{other}0', b'')
    context.names = [f'{prefix}{number}' for number in range(count)]
    for name in reversed(context.names):
        context.store.create(KIND, name, name.encode())


@then(
    'pages of {limit:d} under "{prefix}"'
    ' list the {count:d} platform objects in order',
)
def step_pages(context: Context, limit: int, prefix: str, count: int) -> None:
    listed_names: list[str] = []
    more = True
    while more:
        page = context.store.list_objects(
            KIND,
            prefix=prefix,
            after=listed_names[-1] if listed_names else '',
            limit=limit,
        )
        assert all(each.body == each.name.encode() for each in page.objects)
        assert len(page.objects) <= limit
        listed_names.extend(each.name for each in page.objects)
        more = page.more
    assert listed_names == context.names, listed_names
    assert len(listed_names) == count


@then('a platform value of {size:d} bytes is too large')
def step_too_large(context: Context, size: int) -> None:
    error = _refused_write(context.store.create, KIND, 'large', b'x' * size)
    assert error.code is ErrorCode.too_large
    assert context.store.read(KIND, 'large') is None


@then('a platform value of {size:d} bytes is accepted')
def step_large_accepted(context: Context, size: int) -> None:
    context.store.create(KIND, 'large', b'x' * size)
    assert len(context.store.read(KIND, 'large').body) == size


def _watch(context: Context) -> None:
    context.answers.append(context.store.watch(KIND, 0, 10))


@when('{count:d} platform watches wait and an object is created')
def step_watches(context: Context, count: int) -> None:
    context.answers = []
    threads = [
        threading.Thread(target=_watch, args=(context,)) for _ in range(count)
    ]
    for thread in threads:
        thread.start()
    while context.platform.counts.get('watch', 0) < count:
        threading.Event().wait(0.01)
    context.store.create(KIND, 'seen', b'body')
    for thread in threads:
        thread.join(10)
    assert len(context.answers) == count, len(context.answers)


@then('each platform watch reports that object')
def step_watched(context: Context) -> None:
    for answer in context.answers:
        assert answer.revision == 1, answer
        assert [event.name for event in answer.events] == ['seen'], answer
        assert answer.events[0].current.body == b'body', answer


@then('the platform stand-in counted {watches:d} watches and {writes:d} write')
def step_counts(context: Context, watches: int, writes: int) -> None:
    counts = context.platform.counts
    assert counts == {'watch': watches, 'write': writes}, counts


@when('the platform is restored to a state before its last {count:d} writes')
def step_restore(context: Context, count: int) -> None:
    context.store.create(KIND, 'kept', b'old')
    context.platform.save_snapshot()
    for number in range(count):
        context.store.create(KIND, f'lost-{number}', b'')
    context.lost_revision = context.store.list_objects(KIND).revision
    context.platform.restore_snapshot()


@then('the platform shows the old state')
def step_old_state(context: Context) -> None:
    listing = context.store.list_objects(KIND)
    assert [each.name for each in listing.objects] == ['kept'], listing
    assert listing.revision == 1, listing


@then('a platform watch from the lost revision has expired')
def step_expired(context: Context) -> None:
    assert context.store.watch(KIND, context.lost_revision, 1).expired
