"""Stand-in callers with bodies that some configurations do not allow."""

from soak.body_limits import FIRST_LARGE_OBJECT
from soak.body_limits import LARGE_BYTES
from soak.body_limits import LARGE_PREFIX
from soak.callers import Caller
from soak.ledger import CONFIG_APPLY_LIMIT_S


class LargeCaller(Caller):
    """Sends large bodies over kept connections."""

    body = bytes(LARGE_BYTES)
    # Longer than a change of the limits takes to be in force.
    pause_range_s = (CONFIG_APPLY_LIMIT_S, 2 * CONFIG_APPLY_LIMIT_S)

    def _choose_target(self):
        """See :meth:`Caller._choose_target`."""
        _, target = super()._choose_target()
        return LARGE_PREFIX, FIRST_LARGE_OBJECT + target
