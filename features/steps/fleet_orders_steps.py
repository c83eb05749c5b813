"""Steps of fleet_orders.feature."""

import itertools
import threading
import time

from behave import step
from behave.runner import Context

from features import builders_fleet as fleets
from features.steps.fleet_catalogue_steps import put
from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.standins.engine import EngineSpec, EngineStandin
from guavadyke.standins.order_executor import (
    LoadedModel,
    OrderState,
    WeightSource,
)

_LEASE_S = 3
_OBSERVE_INTERVAL_S = 0.005


class EngineObserver:
    """Polls all engines; records the fewest serving and the most loading.

    ``least_serving`` counts from the moment that an engine first served.
    """

    def __init__(self, engines: list[EngineStandin]) -> None:
        self.least_serving = len(engines)
        self.most_loading = 0
        self.served = False
        self._engines = engines
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def close(self) -> None:
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(_OBSERVE_INTERVAL_S):
            states = [engine.order_executor.state for engine in self._engines]
            serving = sum(bool(state.loaded) for state in states)
            loading = sum(bool(state.loading) for state in states)
            self.most_loading = max(self.most_loading, loading)
            self.served = self.served or serving > 0
            if self.served:
                self.least_serving = min(self.least_serving, serving)


def _start_managed_fleet(
    context: Context,
    count: int,
    spec: EngineSpec,
    **orders: object,
) -> None:
    _start_fleet(context, count, spec, **orders)
    _register_engines(context, fencing=spec.fencing)


def _start_fleet(
    context: Context,
    count: int,
    spec: EngineSpec,
    **orders: object,
) -> None:
    """Start engines and entry hosts; the catalogue holds only an owner."""
    context.engines = [
        EngineStandin(ip='127.0.0.1', spec=spec) for _number in range(count)
    ]
    for engine in context.engines:
        engine.start()
        context.add_cleanup(engine.close)
    context.observer = EngineObserver(context.engines)
    context.observer.start()
    context.add_cleanup(context.observer.close)
    context.platform = fleets.MemoryPlatform()
    context.hosts = fleets.start_fleet(
        context.platform,
        HttpBackendServers(),
        {'north': 2, 'south': 1},
        orders={
            'interval_s': 0.1,
            'lease_s': _LEASE_S,
            'lease_margin_s': 2,
            **orders,
        },
    )
    for started in context.hosts:
        context.add_cleanup(started.close)
    put(context.hosts[0], 'lammikko', fleets.owner_entry())


def _register_engines(context: Context, *, fencing: bool) -> None:
    """Put the engines into the catalogue as managed backend servers."""
    for number, engine in enumerate(context.engines):
        document = fleets.server_entry(
            engine.address,
            managed=True,
            fencing=fencing,
        )
        answer = put(context.hosts[0], f'engine-{number}', document)
        assert answer.status == 201, answer.data


@step('two managed engines that check fencing tokens')
def step_fencing(context: Context) -> None:
    _start_managed_fleet(context, 2, EngineSpec(fencing=True))


@step('two managed engines that ignore fencing tokens')
def step_not_fencing(context: Context) -> None:
    _start_managed_fleet(context, 2, EngineSpec(fencing=False))


@step('four managed engines of a zone that loads one at a time')
def step_four(context: Context) -> None:
    _start_managed_fleet(context, 4, EngineSpec(), loads_at_once=1)


@step(
    'two managed engines that hold version "{version}", which an entry asks '
    'for, and reach no weight store',
)
def step_no_weights(context: Context, version: str) -> None:
    spec = EngineSpec(
        models=(LoadedModel(model='sorter', version=version),),
        weights=WeightSource(url='http://127.0.0.1:9'),
    )
    _start_fleet(context, 2, spec)
    # Hosts unload models that no entry asks for from managed engines, so the
    # entry has to be in force on every host before the engines are managed.
    step_entry_asks(context, 'two', version)
    fleets.eventually(
        lambda: all(
            'report' in host.service.catalogue.current.entries
            for host in context.hosts
        ),
        'all hosts have the entry',
    )
    _register_engines(context, fencing=spec.fencing)


@step('an entry asks for {count} replicas of version "{version}"')
def step_entry_asks(context: Context, count: str, version: str) -> None:
    replicas = {'two': 2, 'four': 4}[count]
    document = fleets.model_entry(
        version=version,
        replicas={'north': replicas},
    )
    answer = put(context.hosts[0], 'report', document)
    assert answer.status in {200, 201}, answer.data


@step('the entry asks for version "{version}"')
def step_entry_asks_again(context: Context, version: str) -> None:
    step_entry_asks(context, 'two', version)


def _versions(state: OrderState) -> set[str]:
    return {loaded.version for loaded in state.loaded}


def _all_hold(context: Context, version: str) -> bool:
    return all(
        version in _versions(engine.order_executor.state)
        for engine in context.engines
    )


@step('both engines hold version "{version}"')
@step('all engines hold version "{version}"')
def step_hold(context: Context, version: str) -> None:
    fleets.eventually(
        lambda: _all_hold(context, version),
        f'all engines hold {version}',
    )


@step('both engines hold only version "{version}"')
def step_hold_only(context: Context, version: str) -> None:
    fleets.eventually(
        lambda: all(
            _versions(engine.order_executor.state) == {version}
            for engine in context.engines
        ),
        f'all engines hold only {version}',
    )


def _orders(engine: EngineStandin) -> list[dict[str, object]]:
    records = engine.history.records()
    return [one for one in records if one['operation'] == 'order']


@step('each order had its own fencing token, in rising order')
def step_fencing_numbers_rise(context: Context) -> None:
    for engine in context.engines:
        numbers = [
            order['fencing']
            for order in _orders(engine)
            if order['outcome'] == 'accepted'
        ]
        assert numbers, 'no order was accepted'
        assert numbers == sorted(set(numbers)), numbers


@step('at least one engine served the entry at all times')
def step_always_served(context: Context) -> None:
    assert context.observer.least_serving >= 1


@step('both engines still hold version "{version}"')
def step_still_hold(context: Context, version: str) -> None:
    fleets.eventually(
        lambda: all(len(_orders(engine)) >= 2 for engine in context.engines),
        'loads were tried and failed',
    )
    assert _all_hold(context, version)
    assert context.observer.least_serving == 2


@step('no two engines loaded at the same time')
def step_one_load_at_a_time(context: Context) -> None:
    assert context.observer.most_loading == 1


@step('the hosts that sent orders are lost and version "2" is asked for')
def step_lose_hosts(context: Context) -> None:
    sender_ids = {
        order['host_id']
        for engine in context.engines
        for order in _orders(engine)
    }
    remaining_hosts = [
        host for host in context.hosts if host.host_id not in sender_ids
    ]
    for host in context.hosts:
        if host.host_id in sender_ids:
            host.close()
    context.hosts = remaining_hosts
    step_entry_asks(context, 'two', '2')


@step('no two hosts sent orders within one lease')
def step_one_sender_in_lease(context: Context) -> None:
    for engine in context.engines:
        pairs = itertools.pairwise(_orders(engine))
        changes = [
            float(str(later['started'])) - float(str(earlier['started']))
            for earlier, later in pairs
            if earlier['host_id'] != later['host_id']
        ]
        assert changes, 'no other host took over'
        assert min(changes) >= _LEASE_S - 0.1, changes


@step(
    'one engine drains and an entry asks for two replicas of version '
    '"{version}"',
)
def step_drain(context: Context, version: str) -> None:
    answer = context.hosts[0].operator.call(
        'POST',
        'backend-servers/engine-0/drain',
    )
    assert answer.status == 200, answer.data
    fleets.eventually(
        lambda: all(
            'engine-0' in host.service.fleet.current.leaving
            for host in context.hosts
        ),
        'engine-0 is leaving everywhere',
    )
    step_entry_asks(context, 'two', version)


@step('only the engine that stays holds version "{version}"')
def step_one_holds(context: Context, version: str) -> None:
    leaving, staying = context.engines
    fleets.eventually(
        lambda: version in _versions(staying.order_executor.state),
        'the engine that stays holds it',
    )
    time.sleep(0.5)
    assert not _orders(leaving), _orders(leaving)
