"""Steps of forward_prompts.feature."""

from __future__ import annotations

import contextlib
import dataclasses
import time
import types

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features import builders_forward_runner as runner
from features import builders_prompt_guards as guards
from features.builders_processes import wait_until
from guavadyke.adapters.ports import BackendFault
from guavadyke.controllers.prompt_guard import GuardedRun, PromptGuard
from guavadyke.controllers.prompt_trials import TrialClaim
from guavadyke.decisions.forward_routes import RouteKind
from guavadyke.decisions.prompt_quarantine import whole_item
from guavadyke.decisions.prompt_reports import PromptReport
from guavadyke.decisions.rendezvous_hashing import rank_names, rendezvous
from guavadyke.errors import GuavadykeError
from guavadyke.filters.forward import Forwarder
from guavadyke.prompt_report_documents import (
    REPORT_KIND,
    claim_name,
    encode_claim,
)

_PARTS = ('shared', 'bad')
_RESULTS_S = 10.0
_HELD_S = 0.3
_AT_ONCE_S = 0.01
# Longer than a runner waits between two looks for items to start.
_TICKS_S = 0.06
# Longer than a host may wait until it uses its claim to try a part.
_CLAIM_LAPSES_S = 6.0
_HOUR_PARTS_S = (3000, 700)
_MS_PER_S = 1000
_LOOK_S = 0.05
_SENT_S = 5.0
# Less than the time that a claim is valid, and more than a retry delay.
# Part of an item's shortest retry delay.
_RETRY_STEP_S = 0.02
_TRIAL_LASTS_S = 3.0
_NOT_RUN = build.Scripted(fault=BackendFault.not_reached, not_run=True)
_SCRIPTS = types.MappingProxyType({
    'a closed connection': build.Scripted(
        fault=BackendFault.broken, disconnected=True, sent=1
    ),
    'a reset connection': build.Scripted(
        fault=BackendFault.broken, disconnected=True
    ),
    'half of an event': build.Scripted(body=build.event(1)[:9]),
    'a connection not made': build.Scripted(
        fault=BackendFault.not_reached, not_run=True
    ),
    'silence': build.Scripted(fault=BackendFault.silent),
    'a 500': build.Scripted(status=500, body=b'out of memory'),
    'an event out of order': build.Scripted(body=build.event(3)),
})


def _split(prompt: str) -> tuple[str, ...]:
    return tuple(prompt.split(','))


@given('{size:d} hosts where requests with the part "{prompt}" have completed')
def step_served(context: Context, size: int, prompt: str) -> None:
    step_fresh(context, size)
    for guard in context.guarded.guards:
        guard.completed(_split(prompt))


@given('{size:d} hosts that have served nothing yet')
def step_fresh(context: Context, size: int) -> None:
    context.guarded = guards.GuardedFleet(size)
    context.ended = 0


@when('{count:d} servers end under a prompt of "{prompt}"')
@when('{count:d} server ends under a prompt of "{prompt}"')
def step_crash(context: Context, count: int, prompt: str) -> None:
    _end_servers(context, count, prompt)


@when('requests with "{prompt}" complete at all hosts')
def step_complete_everywhere(context: Context, prompt: str) -> None:
    for guard in context.guarded.guards:
        guard.completed(_split(prompt))
    context.guarded.exchange()


@when('{count:d} items with other parts complete at all hosts')
def step_others_complete(context: Context, count: int) -> None:
    for guard in context.guarded.guards:
        for number in range(count):
            guard.completed(('other', whole_item(str(number))))


@when('a server ends under "{prompt}" at the first host this moment')
def step_ends_now(context: Context, prompt: str) -> None:
    context.guarded.end_server('host-0', context.ended, _split(prompt))


@then('the first host refuses a prompt of "{prompt}"')
def step_first_refuses(context: Context, prompt: str) -> None:
    assert context.guarded.hosts['host-0'].guard.check(_split(prompt))


@when('{count:d} servers end under prompts of "{one}" and "{other}"')
@when('{count:d} server ends under prompts of "{one}" and "{other}"')
def step_crash_both(context: Context, count: int, one: str, other: str) -> None:
    _end_servers(context, count, one, other)


def _end_servers(context: Context, count: int, *prompts: str) -> None:
    for _ in range(count):
        context.guarded.crash(context.ended, *map(_split, prompts))
        context.ended += 1


@when(
    '{count:d} servers end under prompts of "{part}" and a deeper part that '
    'differs'
)
def step_crash_first(context: Context, count: int, part: str) -> None:
    for number in range(count):
        context.guarded.crash(number, (part, f'deeper-{number}'))


@when('{count:d} servers end under a prompt of "{prompt}" at the first host')
def step_crash_at_first(context: Context, count: int, prompt: str) -> None:
    first = context.guarded.hosts['host-0'].guard
    for number in range(count):
        context.guarded.end_server('host-0', number, _split(prompt))
        context.guarded.settle()
        first.check(())


@when(
    'the platform is away while {count:d} servers end under a prompt of '
    '"{prompt}"'
)
def step_crash_away(context: Context, count: int, prompt: str) -> None:
    for link in context.guarded.links.values():
        link.faults.cut_writes = True
    for number in range(count):
        context.guarded.end_server(f'host-{number}', number, _split(prompt))
    context.guarded.settle()
    context.guarded.send()
    assert not context.guarded.reports
    for link in context.guarded.links.values():
        link.faults.clear_faults()
    context.guarded.exchange()


@when(
    'every host sees {count:d} servers end under prompts of their own in '
    '{seconds:d} seconds'
)
def step_crash_everywhere(context: Context, count: int, seconds: int) -> None:
    fleet = context.guarded
    for number in range(count):
        for host_id in fleet.hosts:
            fleet.end_server(host_id, number, (f'{host_id}-{number}',))
        fleet.clock.sleep(seconds / count)
        fleet.send()


@when('{count:d} servers end under a request of "{prompt}" at "{host_id}"')
def step_crash_at(
    context: Context, count: int, prompt: str, host_id: str
) -> None:
    fleet = context.guarded
    for number in range(count):
        fleet.end_server(host_id, f'{host_id}-{number}', _split(prompt))
        fleet.settle()
    fleet.exchange()
    fleet.exchange()


@when(
    'a host loses its connections to {count:d} servers at once under a prompt '
    'of "{prompt}"'
)
def step_connections_lost(context: Context, count: int, prompt: str) -> None:
    fleet = context.guarded
    runs = [
        GuardedRun(fleet.guards[0], _split(prompt), fleet.clock)
        for _ in range(count)
    ]
    fleet.clock.sleep(1)
    for number, run in enumerate(runs):
        run.disconnected(f's{number}/1')
        fleet.clock.sleep(_AT_ONCE_S / count)
    fleet.settle()
    context.guarded.exchange()


@when('a run with "{prompt}" gets events for {seconds:g} seconds')
def step_run_goes_on(context: Context, prompt: str, seconds: float) -> None:
    guard = context.guarded.guards[0]
    run = GuardedRun(guard, _split(prompt), context.guarded.clock)
    for _ in range(round(10 * seconds)):
        run.progressed()
        context.guarded.clock.sleep(0.1)
    context.guarded.exchange()


@when('the first host starts anew')
def step_first_anew(context: Context) -> None:
    context.guarded.start('host-0')


@when('all hosts start anew')
def step_all_anew(context: Context) -> None:
    for name in tuple(context.guarded.hosts):
        context.guarded.start(name)


@when('{seconds:d} seconds pass')
def step_pass(context: Context, seconds: int) -> None:
    context.guarded.clock.sleep(seconds)


@when('{seconds:d} seconds pass with an exchange each 0.1 seconds')
def step_exchange(context: Context, seconds: int) -> None:
    for _ in range(10 * seconds):
        context.guarded.clock.sleep(0.1)
        context.guarded.exchange()


@when('a request with "{prompt}" completes at the host that tries it')
def step_trial(context: Context, prompt: str) -> None:
    parts = _split(prompt)
    fleet = context.guarded
    for guard in fleet.guards:
        guard.trials.allows(guard.check(parts))
    fleet.claim()
    trying = [
        one for one in fleet.guards if one.trials.begins(one.check(parts))
    ]
    assert len(trying) == 1, len(trying)
    trying[0].completed(parts)
    fleet.exchange()


@then('each host would try "{prompt}" if it alone had a request with it')
def step_each_tries(context: Context, prompt: str) -> None:
    fleet = context.guarded
    for host_id in fleet.hosts:
        assert not fleet.refusing(*_split(prompt), hosts=[host_id]), host_id
        fleet.clock.sleep(_CLAIM_LAPSES_S)


@when('the platform stops taking writes')
def step_no_writes(context: Context) -> None:
    for link in context.guarded.links.values():
        link.faults.cut_writes = True


@when('the platform takes writes again')
def step_writes(context: Context) -> None:
    for link in context.guarded.links.values():
        link.faults.clear_faults()


@when('"{host_id}" sends a request with "{prompt}" that is not answered yet')
def step_unanswered(context: Context, host_id: str, prompt: str) -> None:
    context.asking = host_id
    context.lease = context.guarded.try_at_server(host_id, _split(prompt))
    assert context.lease is not None


@when('{seconds:d} seconds pass in which the claimers of all hosts run')
def step_claimers_run(context: Context, seconds: int) -> None:
    for _ in range(seconds):
        context.guarded.clock.sleep(1)
        context.guarded.claim()


@when('its run ends without an answer')
def step_run_ends(context: Context) -> None:
    trials = context.guarded.hosts[context.asking].guard.trials
    trials.runs.ended(context.lease)


@when('its run is ended by an unexpected error')
def step_run_lost(context: Context) -> None:
    context.lease = None


@when('its host starts anew')
def step_host_lost(context: Context) -> None:
    context.guarded.start(context.asking)


@when('its host alone loses the platform')
def step_host_cut(context: Context) -> None:
    context.guarded.links[context.asking].faults.cut_writes = True


@when('its host reaches the platform again')
def step_host_back(context: Context) -> None:
    context.guarded.links[context.asking].faults.clear_faults()


@then('the host of the first request does not try "{prompt}"')
def step_first_does_not_try(context: Context, prompt: str) -> None:
    step_does_not_try(context, context.asking, prompt)


@when('"{host_id}" claims a trial of "{prompt}" and starts anew')
def step_claim(context: Context, host_id: str, prompt: str) -> None:
    fleet = context.guarded
    guard = fleet.hosts[host_id].guard
    guard.trials.allows(guard.check(_split(prompt)))
    fleet.claim()
    assert guard.trials.allows(guard.check(_split(prompt)))
    fleet.start(host_id)


@when(
    '"{second}" learns of a claim of "{first}" for "{prompt}" while it writes '
    'its own'
)
def step_overtaken(
    context: Context, second: str, first: str, prompt: str
) -> None:
    fleet = context.guarded
    parts = _split(prompt)
    for host_id in (first, second):
        guard = fleet.hosts[host_id].guard
        assert not guard.trials.allows(guard.check(parts))
    fleet.links[second].before_write = lambda: fleet.claim([first])
    fleet.claim([second])
    assert not fleet.refusing(*parts, hosts=[first])


@when(
    'a host claims a trial of "{prompt}" and its claim is removed, of which '
    'no watch tells'
)
def step_claim_lost(context: Context, prompt: str) -> None:
    fleet = context.guarded
    parts = _split(prompt)
    context.asking = 'host-3'
    assert not fleet.refusing(*parts, hosts=[context.asking])
    fleet.platform.take(REPORT_KIND, claim_name(parts[-1]))
    fleet.list_again()
    fleet.clock.sleep(_CLAIM_LAPSES_S)


@when(
    'a host claims a trial of "{prompt}" and it removes old reports after it '
    'claimed another'
)
def step_claim_old(context: Context, prompt: str) -> None:
    fleet = context.guarded
    parts = _split(prompt)
    context.asking = rendezvous(claim_name(parts[-1]), fleet.hosts)
    for seconds in _HOUR_PARTS_S:
        assert not fleet.refusing(*parts, hosts=[context.asking])
        fleet.clock.sleep(seconds)
    step_remove_old(context)
    fleet.read()


@when(
    'a host claims a trial of "{prompt}" and the answer comes after the claim '
    'of another host'
)
def step_claim_late(context: Context, prompt: str) -> None:
    fleet = context.guarded
    parts = _split(prompt)
    context.asking = 'host-3'

    def claim_of_other() -> None:
        fleet.read()
        fleet.clock.sleep(_CLAIM_LAPSES_S)
        assert not fleet.refusing(*parts, hosts=['host-0'])

    fleet.links[context.asking].after_write = claim_of_other
    assert fleet.refusing(*parts, hosts=[context.asking])
    fleet.clock.sleep(_CLAIM_LAPSES_S)


@then('that host alone tries "{prompt}" within {seconds:d} seconds')
def step_tries_within(context: Context, prompt: str, seconds: int) -> None:
    fleet = context.guarded
    assert any(
        not fleet.refusing_after(1, *_split(prompt), hosts=[context.asking])
        for _ in range(seconds)
    )


@then(
    'a look at {count:d} items with "{prompt}" takes a host under {limit_ms:d} '
    'ms of processor time'
)
def step_look_at_items(
    context: Context, count: int, prompt: str, limit_ms: int
) -> None:
    guard = context.guarded.guards[0]
    prompts = [(*_split(prompt), whole_item(str(no))) for no in range(count)]
    began_s = time.thread_time()
    allowed = [guard.trials.allows(guard.check(parts)) for parts in prompts]
    took_ms = _MS_PER_S * (time.thread_time() - began_s)
    assert not any(allowed)
    assert took_ms < limit_ms, took_ms


@when('all hosts ask for "{prompt}" for {seconds:d} seconds')
def step_ask(context: Context, prompt: str, seconds: int) -> None:
    fleet = context.guarded
    before = fleet.writes
    context.trials = 0
    for _ in range(round(seconds / _LOOK_S)):
        fleet.clock.sleep(_LOOK_S)
        context.trials += len(fleet.hosts) - fleet.refusing(*_split(prompt))
    context.writes = fleet.writes - before


@then(
    'there are {least:d} to {most:d} trials and at most {writes:d} claims are '
    'written'
)
def step_claim_writes(
    context: Context, least: int, most: int, writes: int
) -> None:
    assert least <= context.trials <= most, context.trials
    assert context.writes <= writes, context.writes


@then(
    '{count:d} callers of "{prompt}" wait {seconds:g} seconds in all for a '
    'slow platform'
)
def step_callers_wait(
    context: Context, count: int, prompt: str, seconds: float
) -> None:
    guard = context.guarded.guards[0]
    context.parts = _split(prompt)
    began_s = time.monotonic()
    for _ in range(count):
        found = guard.check(context.parts)
        assert found and not guard.trials.await_claim(found, seconds)
    waited_s = time.monotonic() - began_s
    assert seconds <= waited_s < 3 * seconds, waited_s


@then('the next one may try it once the claim is written')
def step_next_tries(context: Context) -> None:
    first = next(iter(context.guarded.hosts))
    assert not context.guarded.refusing(*context.parts, hosts=[first])


@then('"{host_id}" tries "{prompt}"')
def step_tries(context: Context, host_id: str, prompt: str) -> None:
    assert not context.guarded.refusing(*_split(prompt), hosts=[host_id])


@then('"{host_id}" does not try "{prompt}"')
def step_does_not_try(context: Context, host_id: str, prompt: str) -> None:
    assert context.guarded.refusing(*_split(prompt), hosts=[host_id])


@given('the claim of a host to try a part')
def step_claim_body(context: Context) -> None:
    context.body = encode_claim(TrialClaim('bad', 'host-1', build.NOW))


@then('a host of the last version reads nothing from it')
def step_read_by_last(context: Context) -> None:
    report = guards.LastReportDocument.model_validate_json(context.body)
    assert not (report.incarnation or report.suspects or report.completed)
    assert report.at == build.NOW


@when(
    'the host that ranks last for "{part}" owns a job whose items have '
    '"{prompt}"'
)
def step_owned(context: Context, part: str, prompt: str) -> None:
    fleet = context.guarded
    owner = rank_names(part, fleet.hosts)[-1]
    context.bench = runner.RunnerBench(
        prompts=fleet.hosts[owner].guard, clock=fleet.clock
    )
    context.add_cleanup(context.bench.close)
    context.items = 2
    context.bench.accept(
        context.items,
        parts_by_number=dict.fromkeys(range(context.items), _split(prompt)),
    )


@then('its items complete')
def step_items_complete(context: Context) -> None:
    def completed() -> bool:
        _pump(context)
        return len(context.bench.listed()) == context.items

    assert wait_until(completed, _RESULTS_S), context.bench.listed()


@when('all hosts learn that "{prompt}" completed {seconds:d} seconds ago')
def step_old_word(context: Context, prompt: str, seconds: int) -> None:
    at = context.guarded.clock.wall() - seconds
    for guard in context.guarded.guards:
        guard.apply(PromptReport(at, completed=_split(prompt)))


@when('every host removes old reports')
def step_remove_old(context: Context) -> None:
    for host in context.guarded.hosts.values():
        host.sender.remove_old(context.guarded.clock.wall())


@then('all hosts refuse a prompt of "{prompt}"')
def step_all_refuse(context: Context, prompt: str) -> None:
    refusing = context.guarded.refusing(*_split(prompt))
    assert refusing == len(context.guarded.hosts), refusing


@then('all hosts but one refuse a prompt of "{prompt}"')
def step_all_but_one_refuse(context: Context, prompt: str) -> None:
    refusing = context.guarded.refusing(*_split(prompt))
    assert refusing == len(context.guarded.hosts) - 1, refusing


@then('{count:d} hosts refuse a prompt of "{prompt}"')
def step_some_refuse(context: Context, count: int, prompt: str) -> None:
    refusing = context.guarded.refusing(*_split(prompt))
    assert refusing == count, refusing


@then('no host refuses a prompt of "{prompt}"')
def step_none_refuses(context: Context, prompt: str) -> None:
    refusing = context.guarded.refusing(*_split(prompt))
    assert not refusing, refusing


@then('there are {count:d} reports on the platform')
def step_reports(context: Context, count: int) -> None:
    assert context.guarded.reports == count, context.guarded.reports


@then('there are at most {count:d} reports on the platform')
def step_reports_at_most(context: Context, count: int) -> None:
    assert context.guarded.reports <= count, context.guarded.reports


@given('a server whose answer ends as {end}')
def step_server(context: Context, end: str) -> None:
    context.route = build.route(RouteKind.streamed)
    context.script = _SCRIPTS[end]
    context.clock = build.ManualClock()
    context.guard = build.prompt_guard(clock=context.clock)


@when('{count:d} incarnations of it have answered a request')
def step_incarnations(context: Context, count: int) -> None:
    for number in range(count):
        servers = build.FakeServers(context.script)
        with contextlib.suppress(GuavadykeError):
            _forward(context, f's{number}', servers)
        context.clock.sleep(guards.SETTLED_S)
        context.guard.check(_PARTS)


def _forward(
    context: Context, name: str, servers: build.FakeServers
) -> build.FakeServers:
    """Forward a request with both parts to a server of this name."""
    tools = build.tools(servers, build.pool((build.server(f'{name}1'),)))
    answer = Forwarder(
        build.request(prompt_parts=_PARTS),
        context.route,
        dataclasses.replace(tools, prompts=context.guard),
    ).answer()
    if not isinstance(answer.body, bytes):
        b''.join(answer.body)
    return servers


@then('a further request is {outcome}')
def step_further(context: Context, outcome: str) -> None:
    servers = build.FakeServers()
    with contextlib.suppress(GuavadykeError):
        _forward(context, 's9', servers)
    assert len(servers.calls) == (outcome == 'answered'), servers.calls


@given('a part of a prompt that is quarantined')
def step_quarantined(context: Context) -> None:
    context.route = build.route(RouteKind.streamed)
    context.servers = build.FakeServers()
    context.pool = build.pool((build.server('s1'),))
    context.guard = _quarantining_guard()


def _quarantining_guard() -> PromptGuard:
    clock = build.ManualClock()
    guard = build.prompt_guard(clock=clock)
    guard.completed(_PARTS[:1])
    for number in range(3):
        GuardedRun(guard, _PARTS, clock).disconnected(f's{number}/1')
        clock.sleep(guards.SETTLED_S)
        guard.check(_PARTS)
    return guard


@when('a request with the part is forwarded')
def step_forward(context: Context) -> None:
    context.answer = None
    try:
        _forward(context, 's1', context.servers)
    except GuavadykeError as error:
        context.error = error


@then('the error has a retry time of about {seconds:d} seconds')
def step_retry_time(context: Context, seconds: int) -> None:
    assert abs(context.error.retry_after_s - seconds) < 1, context.error


@given('a job of {items:d} items of which {held:d} have a quarantined part')
def step_job(context: Context, items: int, held: int) -> None:
    context.logger = build.RecordingLogger()
    context.bench = runner.RunnerBench(
        prompts=_quarantining_guard(), logger=context.logger
    )
    context.add_cleanup(context.bench.close)
    context.held = held
    context.items = items


@when('the job is run')
def step_run(context: Context) -> None:
    parts_by_number = {
        number: _PARTS[: 2 if number < context.held else 1]
        for number in range(context.items)
    }
    context.bench.accept(context.items, parts_by_number=parts_by_number)


@then('the {count:d} other items complete and none of the held ones is sent')
def step_others(context: Context, count: int) -> None:
    assert wait_until(lambda: len(context.bench.listed()) == count, _RESULTS_S)
    time.sleep(_HELD_S)
    sent = {call.request_id for call in context.bench.servers.calls}
    assert sent == {f'item-{number}' for number in range(2, 4)}, sent


@then('the host reports no items that wait for a slot')
def step_no_backlog(context: Context) -> None:
    assert not context.bench.in_flight().batch_counts


@then('the log says that {count:d} items of the job are held for the part')
def step_reported(context: Context, count: int) -> None:
    assert wait_until(lambda: context.logger.named('job_waits'), _RESULTS_S)
    report = context.logger.named('job_waits')[0]
    assert report['held'] == count, report
    job = context.bench.host.registry.views()['job-1'].job
    parts = job.suspect_parts(job.items[0])
    assert report['held_parts'] == ','.join(parts[-2:]), report
    assert _PARTS[-1] == parts[-2], parts


@when(
    'the host may try "{prompt}" and runs a job of {items:d} items, {tried:d} '
    'of them with it'
)
def step_tried_items(
    context: Context, prompt: str, items: int, tried: int
) -> None:
    fleet = context.guarded
    parts = _split(prompt)
    guard = fleet.guards[0]
    assert not guard.trials.allows(guard.check(parts))
    fleet.claim()
    context.bench = runner.RunnerBench(
        prompts=guard, listed=(build.server('s1'),), clock=fleet.clock
    )
    context.add_cleanup(context.bench.close)
    context.bench.servers.released.clear()
    context.add_cleanup(context.bench.servers.released.set)
    context.bench.accept(
        items, parts_by_number=dict.fromkeys(range(tried), parts)
    )


@then(
    '{tried:d} of these and the {others:d} others are sent to the only server'
)
def step_tried_sent(context: Context, tried: int, others: int) -> None:
    def sent() -> set[str]:
        return {call.request_id for call in context.bench.servers.calls}

    wait_until(lambda: len(sent()) == tried + others, _SENT_S)
    time.sleep(_HELD_S)
    untried = {f'item-{number}' for number in range(2, 2 + others)}
    assert untried <= sent(), sent()
    assert len(sent()) == tried + others, sent()


@when('an item that may try "{prompt}" meets a server that does not run it')
def step_trial_item_refused(context: Context, prompt: str) -> None:
    guard = _claiming_guard(context, prompt)
    context.servers = build.FakeServers(_NOT_RUN)
    context.bench = runner.RunnerBench(
        prompts=guard, backends=context.servers, clock=context.guarded.clock
    )
    context.add_cleanup(context.bench.close)
    context.bench.accept(1, parts_by_number={0: _split(prompt)})

    clock = context.guarded.clock
    trial_ends_at = clock.monotonic() + _TRIAL_LASTS_S

    def sent_on() -> bool:
        # The retry delay begins when the runner has heard of the end.
        if context.servers.calls and clock.monotonic() < trial_ends_at:
            clock.sleep(_RETRY_STEP_S)
        return len(context.servers.calls) > 1

    wait_until(sent_on, _SENT_S)


@when('a request that may try "{prompt}" meets a server that does not run it')
def step_trial_request_refused(context: Context, prompt: str) -> None:
    context.guard = _claiming_guard(context, prompt)
    context.servers = build.FakeServers(_NOT_RUN)
    tools = build.tools(
        context.servers, build.pool((build.server('s1'), build.server('s2')))
    )
    with contextlib.suppress(GuavadykeError):
        Forwarder(
            build.request(prompt_parts=_split(prompt)),
            build.route(RouteKind.streamed),
            dataclasses.replace(tools, prompts=context.guard),
        ).answer()


@then('it is sent to another server in the same trial')
def step_sent_on(context: Context) -> None:
    assert len(context.servers.calls) == 2, context.servers.calls


def _claiming_guard(context: Context, prompt: str) -> PromptGuard:
    """Return the guard of a host that has claimed a trial."""
    guard = context.guarded.guards[0]
    assert not guard.trials.allows(guard.check(_split(prompt)))
    context.guarded.claim()
    return guard


@given(
    '{size:d} hosts, one of which owns a job of {items:d} item that crashes '
    'servers'
)
def step_crashing_item(context: Context, size: int, items: int) -> None:
    step_fresh(context, size)
    owner = next(iter(context.guarded.hosts))
    context.guard = context.guarded.hosts[owner].guard
    context.backends = guards.CrashingServers()
    context.bench = runner.RunnerBench(
        prompts=context.guard,
        listed=tuple(build.server(f's{number}') for number in range(9)),
        backends=context.backends,
        clock=context.guarded.clock,
    )
    context.add_cleanup(context.bench.close)
    context.backends.pool = context.bench.pool
    context.bench.accept(items)


@when('{count:d} servers have ended under it')
@when('{count:d} server more has ended under it')
def step_ended_under(context: Context, count: int) -> None:
    sent = context.backends.calls
    target = len(sent) + count

    def ended() -> bool:
        _pump(context)
        return len(sent) >= target

    assert wait_until(ended, _RESULTS_S), len(sent)
    _pump(context)


@then('it is not sent for {seconds:d} seconds')
def step_not_sent(context: Context, seconds: int) -> None:
    sent = len(context.backends.calls)
    for _ in range(10 * seconds):
        _pump(context)
        time.sleep(_TICKS_S)
    assert len(context.backends.calls) == sent, len(context.backends.calls)


@then('it has no result')
def step_no_result(context: Context) -> None:
    assert not context.bench.listed()


def _pump(context: Context) -> None:
    """Let a tenth of a second pass at all hosts."""
    context.guarded.clock.sleep(0.1)
    context.guarded.claim()
    context.guarded.exchange()
