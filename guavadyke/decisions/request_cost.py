"""Expected cost of requests, learned from those that have ended.

Load: requests that look alike differ tenfold in their work, because their
prompts and answers differ in length and the callers' estimates are often far
off. Costs are in slot-seconds at a server of usual speed.
"""

from __future__ import annotations

import collections
import dataclasses

# Weight that earlier observations keep at each new one, so that about the last
# 100 count.
_KEPT_PER_OBSERVATION = 0.99
# Below this weight of observations the lengths of a team's answers are taken
# from its route.
_TEAM_SAMPLES = 20.0
# Routes and teams of a service whose answers' lengths are kept, the latest
# ones: 0.8 KB each, and a host may have some 45 services. A host of 390 gets 19
# requests a second, so that few teams have enough samples at a time.
_MAX_GROUPS = 128
# An answer that is longer than expected is expected to go on for this share
# of its length so far, as it would if lengths were widely spread.
_OVERRUN_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class RequestSize:
    """What a request states of its size; 0 stands for what it does not state.

    ``output_hint`` is the caller's estimate of the output in tokens.
    ``parts`` are the ids and tokens of the parts of its prompt that other
    requests may share. Output lengths are learned by ``route`` and ``team``.
    """

    prompt_tokens: int = 0
    max_output_tokens: int = 0
    output_hint: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    route: str = ''
    team: str = ''

    @property
    def memory_tokens(self) -> int:
        """Most tokens that the request may hold in a server's memory."""
        return self.prompt_tokens + self.max_output_tokens


NO_SIZE = RequestSize()


@dataclasses.dataclass(frozen=True)
class ExpectedCost:
    """Expected cost of a request, in slot-seconds at usual speed.

    ``max_events`` is the most events that it may have, 0 for no limit.
    """

    first_event_s: float = 0
    events: float = 0
    event_s: float = 0
    max_events: int = 0

    @property
    def total_s(self) -> float:
        """The whole cost."""
        return self.first_event_s + self.events * self.event_s

    def after(self, events: int) -> float:
        """Return the expected cost that is left after some events."""
        left = max(self.events - events, events * _OVERRUN_SHARE)
        if self.max_events:
            left = min(left, max(0, self.max_events - events))
        return left * self.event_s


@dataclasses.dataclass(frozen=True)
class Observation:
    """What was observed of a request that has ended.

    ``first_event_s`` is None if the request had waited in a queue.
    ``events_s`` is the time from the first event to the last one. ``whole``
    tells that the answer has all events of its request. An answer without
    events took ``first_event_s`` in all.
    """

    first_event_s: float | None
    events: int
    events_s: float
    whole: bool = True


class CostModel:
    """Learns what requests of one service cost. Not thread-safe."""

    def __init__(self) -> None:
        self._first_event = _LinearFit()
        self._event = _Ratio()
        self._total = _Ratio()
        self._tokens = _Ratio()
        self._unstreamed: dict[str, _Ratio] = {}
        self._lengths: collections.OrderedDict[tuple[str, str], _Lengths] = (
            collections.OrderedDict()
        )

    @property
    def mean_cost_s(self) -> float:
        """Mean cost of the requests that have ended, 0 before the first."""
        return self._total.mean

    @property
    def mean_tokens(self) -> float:
        """Mean of the most tokens that a request may hold in memory."""
        return self._tokens.mean

    def expect(self, size: RequestSize, cached_tokens: int = 0) -> ExpectedCost:
        """Return the expected cost of a request.

        Args:
            size: what the request states.
            cached_tokens: tokens of its prompt that the server has cached.
        """
        unstreamed = self._unstreamed.get(size.route)
        if unstreamed is not None and (size.route, '') not in self._lengths:
            return ExpectedCost(first_event_s=unstreamed.mean)
        return ExpectedCost(
            self._first_event.at(max(0, size.prompt_tokens - cached_tokens)),
            self._expected_events(size),
            self._event.mean,
            size.max_output_tokens,
        )

    def observe(
        self, size: RequestSize, cached_tokens: int, seen: Observation
    ) -> None:
        """Learn from a request that has ended."""
        uncached = max(0, size.prompt_tokens - cached_tokens)
        self._tokens.add(size.memory_tokens, 1)
        if seen.first_event_s is not None:
            if seen.events:
                self._first_event.add(uncached, seen.first_event_s)
            else:
                self._unstreamed.setdefault(size.route, _Ratio()).add(
                    seen.first_event_s, 1
                )
                self._total.add(seen.first_event_s, 1)
        if not seen.events:
            return
        if seen.events > 1:
            self._event.add(seen.events_s, seen.events - 1)
        if seen.whole:
            self._learn_length(size, seen.events)
            self._total.add(self._first_event.at(uncached) + seen.events_s, 1)

    def expected_events_s(self, events: int) -> float:
        """Return the time from the first of some events to the last one."""
        return self._event.mean * (events - 1)

    def _learn_length(self, size: RequestSize, events: int) -> None:
        for team in dict.fromkeys(('', size.team)):
            key = (size.route, team)
            lengths = self._lengths.setdefault(key, _Lengths())
            self._lengths.move_to_end(key)
            lengths.learn(size, events)
        while len(self._lengths) > _MAX_GROUPS:
            self._lengths.popitem(last=False)

    def _expected_events(self, size: RequestSize) -> float:
        lengths = self._lengths.get((size.route, size.team))
        if lengths is None or lengths.plain.weight < _TEAM_SAMPLES:
            lengths = self._lengths.get((size.route, ''), _Lengths())
        return lengths.expect(size)


class _Ratio:
    """Ratio of two sums in which old observations count less."""

    __slots__ = ('_above', '_below', 'weight')

    def __init__(self) -> None:
        self.weight: float = 0
        self._above: float = 0
        self._below: float = 0

    def add(self, above: float, below: float) -> None:
        self.weight = self.weight * _KEPT_PER_OBSERVATION + 1
        self._above = self._above * _KEPT_PER_OBSERVATION + above
        self._below = self._below * _KEPT_PER_OBSERVATION + below

    @property
    def mean(self) -> float:
        return self._above / self._below if self._below else 0


class _Lengths:
    """Lengths of the answers of one route or team, in events.

    They are learned as multiples of the hint, as shares of the maximum, and
    as such; the first of these that a request states is used.
    """

    def __init__(self) -> None:
        self.plain = _Ratio()
        self._of_hint = _Ratio()
        self._of_maximum = _Ratio()

    def learn(self, size: RequestSize, events: int) -> None:
        self.plain.add(events, 1)
        if size.output_hint:
            self._of_hint.add(events, size.output_hint)
        if size.max_output_tokens:
            self._of_maximum.add(events, size.max_output_tokens)

    def expect(self, size: RequestSize) -> float:
        """Return the expected number of events; stated numbers at first."""
        if size.output_hint:
            factor = self._of_hint.mean if self._of_hint.weight else 1
            expected = factor * size.output_hint
        elif size.max_output_tokens:
            factor = self._of_maximum.mean if self._of_maximum.weight else 1
            expected = factor * size.max_output_tokens
        else:
            return self.plain.mean
        return min(expected, size.max_output_tokens or expected)


class _LinearFit:
    """Least squares line through points of which old ones count less."""

    def __init__(self) -> None:
        self._weight: float = 0
        self._sum_tokens: float = 0
        self._sum_s: float = 0
        self._sum_squares: float = 0
        self._sum_products: float = 0

    def add(self, tokens: float, seconds: float) -> None:
        kept = _KEPT_PER_OBSERVATION
        self._weight = self._weight * kept + 1
        self._sum_tokens = self._sum_tokens * kept + tokens
        self._sum_s = self._sum_s * kept + seconds
        self._sum_squares = self._sum_squares * kept + tokens * tokens
        self._sum_products = self._sum_products * kept + tokens * seconds

    def at(self, tokens: float) -> float:
        """Return the seconds at ``tokens``; they never fall nor get below 0."""
        if not self._weight:
            return 0
        mean_tokens = self._sum_tokens / self._weight
        mean_s = self._sum_s / self._weight
        variance = self._sum_squares / self._weight - mean_tokens * mean_tokens
        covariance = self._sum_products / self._weight - mean_tokens * mean_s
        slope = max(0, covariance / variance) if variance > 1 else 0
        return max(0, mean_s + slope * (tokens - mean_tokens))
