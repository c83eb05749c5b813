"""Steps of online_claims.feature."""

import types
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context

from features import builders_online as online
from features import builders_online_bench as bench
from guavadyke.adapters.clock import SystemClock
from guavadyke.decisions.claims import (
    CLAIM_KIND,
    Claim,
    ClaimSpec,
    ClaimState,
)
from guavadyke.filters.claim_cleanup import ClaimCleanup
from guavadyke.filters.claim_writer import ClaimWriter
from guavadyke.filters.idempotency import ClaimTools
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, SnapshotCell
from guavadyke.standins.faults import BackendFaults, PlatformFaults

_ANGEL = types.MappingProxyType({'costume': 'angel', 'size': 'M'})
_SHEPHERD = types.MappingProxyType({'costume': 'shepherd', 'size': '8'})


def _send_reservation(
    context: Context,
    host: int,
    document: Mapping[str, str] = _ANGEL,
    **headers: str,
) -> None:
    reply = bench.call(
        context.bench.hosts[host],
        bench.BOOKING,
        dict(document),
        **headers,
    )
    context.replies.append(reply)


@given('entry hosts before a booking service')
def step_bench(context: Context) -> None:
    context.bench = bench.OnlineBench(engines=0)
    context.add_cleanup(context.bench.close)
    context.replies = []


@given('the platform loses the response to its next {count:d} writes')
def step_lost_responses(context: Context, count: int) -> None:
    faults = PlatformFaults(lost_answers_next=count)
    context.bench.platform.faults = faults


@given('the platform refuses every call')
def step_unavailable(context: Context) -> None:
    context.bench.platform.faults = PlatformFaults(outage='refuse')


@given('the platform responds after {seconds:f} seconds')
def step_slow(context: Context, seconds: float) -> None:
    context.bench.platform.faults = PlatformFaults(delay_s=seconds)


@given('the service breaks off its responses')
def step_breaks(context: Context) -> None:
    context.bench.service.faults = BackendFaults(broken_after=0)


@given('the service refuses every call and reports that it did not run')
def step_refuses(context: Context) -> None:
    context.bench.service.faults = BackendFaults(refuse=True)


@given('the service responds after {seconds:d} seconds')
def step_responds_late(context: Context, seconds: int) -> None:
    context.bench.service.faults = BackendFaults(delay_s=seconds)


@given('an old claim of key "{key}" without an outcome')
def step_old_claim(context: Context, key: str) -> None:
    exchange = online.exchange(bench.BOOKING, dict(_ANGEL))
    exchange.owner = 'pesebres'
    exchange.entry_name = 'booking'
    exchange.idempotency_key = key
    exchange.body = exchange.body_input.read()
    claim_spec = ClaimSpec.from_exchange(exchange)
    claim = Claim(
        state=ClaimState.claimed,
        token='token',
        host_id='entry-9',
        body_hash=claim_spec.body_hash,
        created=1,
        bound_s=1,
    )
    store = context.bench.hosts[0].store
    store.create(CLAIM_KIND, claim_spec.name, claim.dump())


@when('the service works again')
def step_repaired(context: Context) -> None:
    context.bench.service.faults = BackendFaults()


@when('a reservation is sent to host {host:d} with key "{key}"')
@when('the reservation is sent again to host {host:d} with key "{key}"')
def step_reserve(context: Context, host: int, key: str) -> None:
    _send_reservation(context, host, idempotency_key=key)


@when('another reservation is sent to host {host:d} with key "{key}"')
def step_other(context: Context, host: int, key: str) -> None:
    _send_reservation(context, host, _SHEPHERD, idempotency_key=key)


@when('a reservation is sent to host {host:d} without a key')
def step_keyless(context: Context, host: int) -> None:
    _send_reservation(context, host)


@when(
    'a reservation is sent to host {host:d} with key "{key}"'
    ' and {limit:d} ms to its deadline',
)
def step_deadline(context: Context, host: int, key: str, limit: int) -> None:
    _send_reservation(
        context,
        host,
        idempotency_key=key,
        guavadyke_deadline_ms=str(limit),
    )


@when('a reservation is sent to both hosts at once with key "{key}"')
def step_at_once(context: Context, key: str) -> None:
    with ThreadPoolExecutor(2) as pool:
        for host in range(2):
            pool.submit(_send_reservation, context, host, idempotency_key=key)


@when('a host cleans all claims')
def step_clean(context: Context) -> None:
    host = context.bench.hosts[0]
    writes = ClaimWriter(host.store, EventLogger())
    tools = ClaimTools('entry-0', SystemClock(), host.store, writes)
    fleet = SnapshotCell(FleetSnapshot())
    ClaimCleanup(tools, fleet, retention_s=3600).clean('')


@then('the platform holds {count:d} claim')
def step_claims(context: Context, count: int) -> None:
    listed = context.bench.hosts[0].store.list_objects(CLAIM_KIND)
    assert len(listed.objects) == count, listed.objects


@then('both reservations have the same response')
def step_same_response(context: Context) -> None:
    first, second = context.replies
    assert first.status == 200, first
    assert first.body == second.body, (first, second)


@then('the service ran {count:d} reservations')
def step_ran(context: Context, count: int) -> None:
    assert sum(context.bench.service.runs.values()) == count


@then('the last booking response is {status:d}')
def step_status(context: Context, status: int) -> None:
    assert context.replies[-1].status == status, context.replies[-1]


@then(
    'the last booking response is {status:d} "{code}" with run "{run}"',
)
def step_refused(context: Context, status: int, code: str, run: str) -> None:
    reply = context.replies[-1]
    error = reply.document['error']
    found = (reply.status, error['code'], error['run'])
    assert found == (status, code, run), reply
