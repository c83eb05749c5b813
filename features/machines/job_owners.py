"""State machine of hosts that own jobs, each with its own view of the others.

Views differ, links to the platform fail, mirrors stop and hosts end. Once views
agree and links work, each open job has one owner within a bound.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from features import builders_job_owners as owners
from features.builders_batch_platform import LinkFaults

HOSTS = ('host-0', 'host-1', 'host-2', 'host-3')
JOBS = ('job-1', 'job-2', 'job-3')
# The wait for a lost owner, one second for each host of lower rank, and the
# distance of two looks of each host.
_BOUND_S = 6.5

hosts = st.sampled_from(HOSTS)
jobs = st.sampled_from(JOBS)
states = st.sampled_from(('alive', 'suspect', 'dead', 'left'))


class JobOwnersMachine(RuleBasedStateMachine):
    """Takes jobs over under faults."""

    def __init__(self) -> None:
        super().__init__()
        self._fleet = owners.OwnerFleet(HOSTS)
        self._lost: set[str] = set()
        self._accepted: set[str] = set()
        self._fleet.see(dict.fromkeys(HOSTS, 'alive'))

    @rule(host=hosts, job_id=jobs)
    def accept(self, host: str, job_id: str) -> None:
        """Accept a job, unless the host is lost or cut off."""
        if job_id in self._accepted or not self._is_linked(host):
            return
        self._fleet.accept(host, job_id)
        self._accepted.add(job_id)

    @rule(host=hosts, other=hosts, state=states)
    def see(self, host: str, other: str, state: str) -> None:
        """Give a host a view of another one, whether it is true or not."""
        self._fleet.hosts[host].see_one(other, state)

    @rule(host=hosts)
    def lose(self, host: str) -> None:
        """End a host for good, unless it is the last one."""
        if len(self._lost | {host}) < len(HOSTS):
            self._lost.add(host)

    @rule(host=hosts, cut=st.booleans(), deaf=st.booleans())
    def change_link(self, host: str, *, cut: bool, deaf: bool) -> None:
        """Cut a host off from the platform, or stop its mirrors alone."""
        self._faults(host).cut = cut
        self._fleet.hosts[host].deaf = deaf

    @rule(host=hosts, every=st.integers(0, 2))
    def lose_answers(self, host: str, every: int) -> None:
        """Lose answers to writes that took effect."""
        self._faults(host).lose_answer_every = every

    @rule(host=hosts, every=st.integers(0, 2))
    def delay_writes(self, host: str, every: int) -> None:
        """Delay writes until after their callers gave up."""
        self._faults(host).delay_write_every = every

    @rule(seconds=st.sampled_from((0.5, 1, 2, 4)))
    def run(self, seconds: float) -> None:
        """Let the hosts decide."""
        self._fleet.run(seconds, self._lost)

    def teardown(self) -> None:
        """Heal all but the lost hosts, then look for the owners."""
        self._fleet.heal()
        self._fleet.see({
            name: 'dead' if name in self._lost else 'alive' for name in HOSTS
        })
        self._fleet.run(_BOUND_S, self._lost)
        for job_id in self._accepted:
            live = [
                name
                for name in self._fleet.owners(job_id)
                if name not in self._lost
            ]
            assert len(live) == 1, (job_id, live)

    def _is_linked(self, host: str) -> bool:
        faults = self._faults(host)
        return host not in self._lost and not (
            faults.cut or faults.lose_answer_every or faults.delay_write_every
        )

    def _faults(self, host: str) -> LinkFaults:
        fleet_host = self._fleet.hosts[host].host
        return fleet_host.link.faults
