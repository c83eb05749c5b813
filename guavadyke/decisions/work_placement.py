"""Choice of a server by the time in which it would have served a request.

Load: uneven servers under requests of uneven cost, whose rate steps between
0.377 and 1.84 times its mean about every 3 s, while 86 hosts decide at once by
the same reports.
"""

from __future__ import annotations

import dataclasses
import hashlib
import math
from collections.abc import Collection, Sequence

from guavadyke.decisions.server_registry import ListedServer

# Servers whose scores differ by this share of a request's mean cost have
# weights that differ by a factor of e. With a smaller share, hosts choose too
# much alike between two reports.
_NEAR_SHARE = 1.0
# A server whose score is higher than the best by this many times that share,
# which leaves it a twentieth of the weight, is not chosen.
_MAX_SHARES = 3.0
# What a server of another availability zone has to be better by, as a share of
# the mean cost; the same as in the choice by counts.
_REMOTE_ZONE_SHARE = 0.13
# A batch item that has to yield first delays a request by about this time: the
# longest time after which other hosts learn of a full server, and their call.
_PREEMPTION_S = 0.2
_HASH_BYTES = 8
_HASH_RANGE = 2.0 ** (8 * _HASH_BYTES)


@dataclasses.dataclass(slots=True)
class Candidate:
    """A server that may get a request, with what is known of it.

    ``online`` and ``batch`` are its requests from all hosts, ``work_s`` the
    remaining work of the online ones in slot-seconds at usual speed, and
    ``cost_s`` the expected cost of the request there. ``used_tokens`` are
    estimated over all hosts, ``own_tokens`` those of this host alone.
    """

    server: ListedServer
    online: int
    batch: int
    work_s: float
    cost_s: float
    speed: float = 1
    own_tokens: int = 0
    used_tokens: float = 0

    @property
    def capacity(self) -> float:
        """Slot-seconds at usual speed that it serves in a second."""
        return self.server.slots * self.speed

    @property
    def wait_s(self) -> float:
        """Expected time until a slot is free for one more request."""
        ahead = self.online + 1 - self.server.slots
        if ahead <= 0:
            full = self.online + self.batch >= self.server.slots
            return _PREEMPTION_S if full else 0
        return queue_wait_s(self.work_s, self.online, ahead, self.capacity)


def queue_wait_s(
    work_s: float, requests: int, ahead: int, capacity: float
) -> float:
    """Return the expected wait for a slot at a full server.

    Args:
        work_s: remaining work of the requests, at usual speed.
        requests: how many they are.
        ahead: how many of them have to end first.
        capacity: the server's slots times its speed.
    """
    return work_s / max(1, requests) * ahead / capacity


def choose_by_work(
    candidates: Sequence[Candidate], zone: str, key: str, mean_cost_s: float
) -> ListedServer | None:
    """Return the server that has probably served a request first.

    Near-equal servers are ranked by rendezvous hashing of the key, weighted by
    capacity and by how near they are to the best, so that hosts that decide
    at once by the same reports spread their requests.

    Args:
        candidates: the servers.
        zone: the availability zone of this host.
        key: rendezvous key of the request.
        mean_cost_s: mean cost of a request of the service.

    Returns:
        None without candidates.
    """
    if not candidates:
        return None
    scores = [_score(one, zone, mean_cost_s) for one in candidates]
    near_s = max(_NEAR_SHARE * mean_cost_s, 1e-9)
    best = min(scores)
    distances = [(score - best) / near_s for score in scores]
    _rank, chosen = min(
        (
            (_weighted_rank(key, one, distance), place)
            for place, (one, distance) in enumerate(
                zip(candidates, distances, strict=True)
            )
            if distance <= _MAX_SHARES
        ),
    )
    return candidates[chosen].server


def that_have_memory(
    candidates: Sequence[Candidate], tokens: int, memory: int
) -> Sequence[Candidate]:
    """Return the servers whose memory holds a request, as far as known.

    If by estimate none has room, it is the one with the most room among those
    that have room beside the requests of this host alone.

    Args:
        candidates: the servers.
        tokens: most tokens that the request may hold.
        memory: tokens that a server holds; 0 if not known.
    """
    if not memory or not tokens:
        return candidates
    room = memory - tokens
    possible = [one for one in candidates if one.own_tokens <= room]
    probable = [one for one in possible if one.used_tokens <= room]
    if probable or not possible:
        return probable
    return [min(possible, key=lambda one: one.used_tokens)]


def without_memory(
    candidates: Collection[Candidate], tokens: int, memory: int
) -> frozenset[str]:
    """Return the ids of servers to which an item must not be sent."""
    if not memory or not tokens:
        return frozenset()
    return frozenset(
        one.server.server_id
        for one in candidates
        if one.used_tokens + tokens > memory
    )


def _score(one: Candidate, zone: str, mean_cost_s: float) -> float:
    """Return the time to be served; work in slots slows a server a little."""
    crowding_s = one.work_s / one.capacity
    penalty_s = _REMOTE_ZONE_SHARE * mean_cost_s * (one.server.zone != zone)
    return one.wait_s + one.cost_s / one.speed + crowding_s + penalty_s


def _weighted_rank(key: str, one: Candidate, distance: float) -> float:
    """Return an exponential variate whose rate is the server's weight.

    The least of them is a server's with a probability in proportion to its
    weight.
    """
    text = f'{one.server.server_id}\0{key}'.encode()
    digest = hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
    uniform = (int.from_bytes(digest, 'big') + 1) / (_HASH_RANGE + 1)
    return -math.log(uniform) / (one.capacity * math.exp(-distance))
