"""Why a backend server gets no request, whatever its load."""

from enum import Enum
from enum import unique


@unique
class Obstacle(Enum):
    """What keeps a server from being used for a request.

    ``MISDIRECTED``: its address belongs to another server; ``NOT_ALLOWED``:
    its failure domain is evacuated or in no home region; ``IN_DOUBT``: what an
    earlier start said may hold for it; ``WANTS_NONE``: it has said so for a
    while; ``SUSPENDED``: it has failed lately; ``COLD``: another gateway warms
    it up, or it may have no further request yet.
    """

    MISDIRECTED = 'misdirected'
    NOT_ALLOWED = 'not_allowed'
    LEAVING = 'leaving'
    IN_DOUBT = 'in_doubt'
    WANTS_NONE = 'wants_none'
    TRIED = 'tried'
    SUSPENDED = 'suspended'
    COLD = 'cold'
