"""Two hosts of which one reads results from the other."""

from __future__ import annotations

from features import builders_forward as build
from features.builders_batch_platform import MemoryPlatform
from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.peer_reads import PeerReads
from guavadyke.adapters.ports import StoredObject
from guavadyke.decisions.forward_job_records import ForwardItemResult
from guavadyke.errors import PlatformUnavailableError
from guavadyke.snapshots import FleetSnapshot, PeerView

OWNER = 'host-1'
READER = 'host-2'


class OwnerReads(PeerReads):
    """Reads pages from the owner, which may not answer."""

    def __init__(self) -> None:
        self.owner: build.JobHost | None = None
        self.silent = False
        self.asked = 0

    def read(self, address: str, kind: str, name: str) -> StoredObject | None:
        """Ask the owner; a host that cannot tell asks the platform."""
        assert self.owner is not None
        self.asked += 1
        if self.silent:
            raise PlatformUnavailableError(f'{address} does not answer')
        call = calls.PlatformCall(calls.PlatformMethod.read, kind, name)
        reply = self.owner.job_api.pages.answer(call)
        if reply is None:
            return self.owner.link.read(kind, name)
        return next(iter(reply.platform.objects), None)


class OwnerAndReader:
    """The owner of a job and a host that reads its results."""

    def __init__(self) -> None:
        self.platform = MemoryPlatform()
        self.reads = OwnerReads()
        self.owner = build.job_host(self.platform, OWNER)
        self.reads.owner = self.owner
        self.reader = build.job_host(
            self.platform, READER, peer_reads=self.reads
        )
        peer = PeerView(OWNER, 'south-a', 'south', OWNER, 'alive', 1, 0)
        self.reader.fleet.publish(FleetSnapshot((peer,)))
        self.owner.job_api.submit(
            'job-1',
            build.route('digests'),
            'reports.example',
            tuple(map(build.item, range(3))),
        )
        self.owner.store.pages('job-1')
        self.reader.catch_up()

    def list_result(self, number: int) -> None:
        """Store the result of an item at the owner."""
        listing = ForwardItemResult(f'item-{number}', completed=True, text='x')
        self.owner.store.append('job-1', (listing,))

    def read(self) -> int:
        """Return the number of results that the reader returns."""
        return len(self.reader.job_api.results('job-1', 0).listings)
