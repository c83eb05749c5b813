"""Faults of a soak that hit hosts."""

from __future__ import annotations

import functools
import signal
import subprocess
import threading
from collections.abc import Callable, Iterable

from features import builders_forward_processes as processes
from features.builders_processes import wait_until
from features.soak_fleet import SoakFleet
from features.soak_schedule import Fault


class HostFaults:
    """Kills, pauses, stops and cuts off hosts.

    A method begins a fault and returns what ends it. A host that one fault
    holds down is left alone by others.

    Args:
        fleet: the hosts.
    """

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        self._down: set[int] = set()
        self._unheard: dict[str, list[frozenset[str]]] = {}
        self._starts: list[threading.Thread] = []
        self._stopping: list[subprocess.Popen[bytes]] = []

    def settle(self) -> None:
        """Wait for hosts that are starting; note which ended by themselves."""
        for start in self._starts:
            start.join()
        self._fleet.history.ended.extend(
            f'{daemon.name} ended by itself'
            for number, daemon in enumerate(self._fleet.daemons)
            if number not in self._down and daemon.process.poll() is not None
        )

    def kill(self, fault: Fault) -> Callable[[], None]:
        """Kill hosts; start them again."""
        began_s = self._fleet.now_s()
        taken = self._take_down(fault)
        for number in taken:
            self._fleet.daemons[number].process.kill()
        return functools.partial(self._start_again, fault, began_s, taken)

    def restart(self, fault: Fault) -> Callable[[], None]:
        """Stop hosts gracefully; start them again."""
        began_s = self._fleet.now_s()
        taken = self._take_down(fault)
        for number in taken:
            process = self._fleet.daemons[number].process
            process.send_signal(signal.SIGTERM)
            self._stopping.append(process)
        return functools.partial(self._start_again, fault, began_s, taken)

    def pause(self, fault: Fault) -> Callable[[], None]:
        """Pause hosts."""
        began_s = self._fleet.now_s()
        taken = self._take_down(fault)
        for number in taken:
            self._fleet.daemons[number].process.send_signal(signal.SIGSTOP)
        return functools.partial(self._resume, fault, began_s, taken)

    def reload(self, fault: Fault) -> Callable[[], None]:
        """Have hosts check their settings again, also while they stop."""
        for number in fault.hosts:
            daemon = self._fleet.daemons[number]
            # A process that has just started does not listen to signals yet.
            if number not in self._down or daemon.process in self._stopping:
                daemon.process.send_signal(signal.SIGHUP)
        return functools.partial(
            self._fleet.record, fault, self._fleet.now_s(), fault.hosts
        )

    def silence(self, fault: Fault) -> Callable[[], None]:
        """Have the platform accept calls of hosts and not answer."""
        return self._cut_platform(fault, 'silent_hosts')

    def reject(self, fault: Fault) -> Callable[[], None]:
        """Have the platform answer calls of hosts with 503."""
        return self._cut_platform(fault, 'rejected_hosts')

    def slow(self, fault: Fault) -> Callable[[], None]:
        """Have calls of hosts take longer, which the platform answers."""
        return self._cut_platform(fault, 'slow_hosts')

    def _take_down(self, fault: Fault) -> list[int]:
        """Return those hosts of a fault that no other fault holds down."""
        taken = [number for number in fault.hosts if number not in self._down]
        self._down.update(taken)
        return taken

    def _start_again(
        self, fault: Fault, began_s: float, numbers: Iterable[int]
    ) -> None:
        for number in numbers:
            start = threading.Thread(
                target=self._start_one, args=(fault, began_s, number)
            )
            start.start()
            self._starts.append(start)

    def _start_one(self, fault: Fault, began_s: float, number: int) -> None:
        daemon = self._fleet.daemons[number]
        try:
            daemon.process.wait(processes.STOP_S)
        except subprocess.TimeoutExpired:
            self._fleet.history.ended.append(f'{daemon.name} did not stop')
            daemon.process.kill()
            daemon.process.wait()
        # Hosts of an earlier version are upgraded when they start again.
        daemon.root = processes.ROOT
        daemon.start()
        wait_until(daemon.is_ready, processes.START_S)
        self._down.discard(number)
        self._fleet.record(fault, began_s, (number,))

    def _resume(
        self, fault: Fault, began_s: float, numbers: Iterable[int]
    ) -> None:
        for number in numbers:
            self._fleet.daemons[number].process.send_signal(signal.SIGCONT)
        self._down.difference_update(numbers)
        self._fleet.record(fault, began_s, numbers)

    def _cut_platform(self, fault: Fault, how: str) -> Callable[[], None]:
        names = frozenset(
            self._fleet.daemons[number].name for number in fault.hosts
        )
        began_s = self._fleet.now_s()
        self._unheard.setdefault(how, []).append(names)
        self._apply_cuts(how)

        def end() -> None:
            self._unheard[how].remove(names)
            self._apply_cuts(how)
            self._fleet.record(fault, began_s, fault.hosts)

        return end

    def _apply_cuts(self, how: str) -> None:
        setattr(self._fleet.store, how, frozenset().union(*self._unheard[how]))
