"""The embedded fleet that each experiment measures.

One process has one interpreter lock, so that engines are slow enough to
leave the load, the engines and the entry hosts most of it.
"""

from __future__ import annotations

import types
from collections.abc import Mapping

from guavadyke.embedded import EmbeddedPlan
from guavadyke.standins.continuous_batching import ContinuousBatchSpec

_SLOW = ContinuousBatchSpec(slots=4, step_s=0.025)
_QUICK = ContinuousBatchSpec(slots=8, step_s=0.01)
_WIDE = ContinuousBatchSpec(slots=64, step_s=0.05)

PLANS: Mapping[str, EmbeddedPlan] = types.MappingProxyType({
    'online-batch': EmbeddedPlan(engine=_SLOW),
    'overload': EmbeddedPlan(engine=_SLOW),
    'failures': EmbeddedPlan(engine=_SLOW),
    'batch': EmbeddedPlan(entry_hosts=2, engine=_QUICK),
    'relay': EmbeddedPlan(
        zones=('cali-norte',),
        engines=4,
        engine=_WIDE,
    ),
})
