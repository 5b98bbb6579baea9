"""Moves the weights of the regions on the leader."""

from time import monotonic

from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.clocks import wall_ms
from fuchsiacart.control.steering import HeadroomWeights
from fuchsiacart.control.steering import make_weights_command
from fuchsiacart.control.steering import ShiftLimiter
from fuchsiacart.control.steering import Weights
from fuchsiacart.logs import log_event


class WeightSteering:
    """Moves the weights towards the target of the policy, within its cap.

    :param settings: the :class:`ControlSettings`.
    :param replica: the :class:`ReplicaTask` of this host.
    """

    def __init__(self, settings, replica):
        self._settings = settings
        self._replica = replica
        self._policy = HeadroomWeights()
        self._limiter = ShiftLimiter(
            settings.shift_cap_permille, settings.shift_window_ms
        )

    async def steer(self, loads):
        """Commit the next weights if they differ from the present ones.

        A new leader waits one full window first, because its clock may
        differ from that of the previous leader.

        :param loads: the load of each region.
        :raises ChangeError: if the weights cannot be committed.
        """
        led_ms = (monotonic() - self._replica.led_since_s) * MILLISECONDS
        if led_ms < self._settings.shift_window_ms or not loads:
            return
        stored = self._replica.replicated_state.stored
        regions = [load.region for load in loads]
        current = Weights(stored.weights)
        target = self._policy.target(loads, current)
        now_ms = max(stored.clock_ms, wall_ms())
        limited = self._limiter.limit(
            target, _weights_history(stored), regions, now_ms
        )
        if limited.rows() == stored.weights:
            return
        await self._replica.propose(make_weights_command(limited, wall_ms()))
        log_event('weights_set', weights=limited.rows())


def _weights_history(stored):
    if stored.weights_history or not stored.weights:
        return stored.weights_history
    return [make_weights_command(Weights(stored.weights), 0)]
