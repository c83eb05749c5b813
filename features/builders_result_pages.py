"""Two hosts of which one reads results from the other."""

from __future__ import annotations

from typing import Any

from features import builders_forward as build
from features.builders_batch_platform import MemoryPlatform
from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.peer_reads import PeerReads
from guavadyke.adapters.ports import StoredObject
from guavadyke.decisions.forward_job_records import ForwardItemResult
from guavadyke.errors import (
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from guavadyke.snapshots import FleetSnapshot, PeerView

OWNER = 'host-1'
READER = 'host-2'
TAKER = 'host-3'


class OwnerReads(PeerReads):
    """Reads pages from owners, which may not answer.

    ``hosts`` are those that can be asked, by their addresses.
    """

    def __init__(self) -> None:
        self.hosts: dict[str, build.JobHost] = {}
        self.silent = False
        self.asked = 0

    def read(self, address: str, kind: str, name: str) -> StoredObject | None:
        """Ask the owner; a host that cannot tell asks the platform."""
        self.asked += 1
        if self.silent:
            raise PlatformUnavailableError(f'{address} does not answer')
        host = self.hosts[address]
        call = calls.PlatformCall(calls.PlatformMethod.read, kind, name)
        reply = host.job_api.pages.answer(call)
        if reply is None:
            return host.link.read(kind, name)
        return next(iter(reply.platform.objects), None)


class OwnerAndReader:
    """The owner of a job, a host that reads its results, and one more."""

    def __init__(self) -> None:
        self.platform = MemoryPlatform()
        self.reads = OwnerReads()
        self.owner = build.job_host(self.platform, OWNER)
        self.taker = build.job_host(self.platform, TAKER)
        self.reads.hosts = {OWNER: self.owner, TAKER: self.taker}
        self.reader = self.new_reader()
        self.owner.job_api.submit(
            'job-1',
            build.route('digests'),
            'reports.example',
            tuple(map(build.item, range(3))),
        )
        view = self.owner.registry.view('job-1')
        self.owner.store.terms.begin(view, started_at=0)
        self.owner.store.load('job-1')
        self.reader.catch_up()

    def new_reader(self) -> build.JobHost:
        """Return a host that reads from owners and has read nothing yet."""
        reader = build.job_host(self.platform, READER, peer_reads=self.reads)
        peers = (
            PeerView(name, 'south-a', 'south', name, 'alive', 1, 0)
            for name in self.reads.hosts
        )
        reader.fleet.publish(FleetSnapshot(tuple(peers)))
        reader.catch_up()
        return reader

    def take_over(self) -> None:
        """Let the third host claim the job; all but the owner learn of it."""
        self.taker.store.claim('job-1', TAKER, OWNER)
        self.taker.catch_up()
        self.reader.catch_up()
        self.taker.store.terms.begin(
            self.taker.registry.view('job-1'), started_at=0
        )

    def list_result(self, number: int) -> None:
        """Store the result of an item at the owner."""
        self.owner.store.append('job-1', (result(number),))

    def list_followed_result(self, number: int) -> None:
        """Store a result whose answer is lost and whose page grows before."""
        link = self.owner.link
        update = link.update

        def update_without_answer(*page: Any) -> StoredObject:
            link.update = update
            update(*page)
            self.taker.store.append('job-1', (result(2),))
            raise PlatformOutcomeUnknownError('the answer was lost')

        link.update = update_without_answer
        self.list_result(number)

    def read(self) -> int:
        """Return the number of results that the reader returns."""
        return len(self.reader.job_api.results('job-1', 0).listings)


def result(number: int) -> ForwardItemResult:
    """Return the result of an item of the job."""
    return ForwardItemResult(f'item-{number}', completed=True, text='x')
