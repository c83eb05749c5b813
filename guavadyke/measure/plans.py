"""Size and engine speed of the embedded fleet of each experiment.

Load generator, engines and entry hosts share one process and so one
interpreter lock. The engines are slow enough that the lock isn't the
bottleneck.
"""

from __future__ import annotations

import types
from collections.abc import Mapping

from guavadyke.embedded_fleet import EmbeddedPlan
from guavadyke.standins.continuous_batching import ContinuousBatchSpec

_SLOW_ENGINE = ContinuousBatchSpec(slots=4, step_s=0.025)
_FAST_ENGINE = ContinuousBatchSpec(slots=8, step_s=0.01)
_MANY_SLOTS_ENGINE = ContinuousBatchSpec(slots=64, step_s=0.05)

PLANS: Mapping[str, EmbeddedPlan] = types.MappingProxyType({
    'online-batch': EmbeddedPlan(engine=_SLOW_ENGINE),
    'overload': EmbeddedPlan(engine=_SLOW_ENGINE),
    'failures': EmbeddedPlan(engine=_SLOW_ENGINE),
    'batch': EmbeddedPlan(entry_hosts=2, engine=_FAST_ENGINE),
    'relay': EmbeddedPlan(
        zones=('cali-norte',),
        engines=4,
        engine=_MANY_SLOTS_ENGINE,
    ),
})
