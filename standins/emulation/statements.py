"""What emulated servers say of themselves, and what comes to them after."""

from msgspec import Struct


class Statement(Struct, frozen=True):
    """What an answer says of its server.

    With ``wait_ms`` the server wants no request for so long.
    """

    is_leaving: bool = False
    wait_ms: float = 0.0


class HeardStatements:
    """What each gateway was told, and how often it sent requests anyway."""

    def __init__(self):
        self._leaving = set()
        self._full_until_ms = {}
        self.sends_to_leaving = 0
        self.sends_to_full = 0

    def record(self, gateway, start, statement, now_ms):
        """Record that a statement has reached a gateway.

        :param gateway: name of the gateway.
        :param start: the :class:`ServerStart`.
        :param statement: the :class:`Statement`.
        :param now_ms: the current time.
        """
        if statement.is_leaving:
            self._leaving.add((gateway, start))
        if statement.wait_ms:
            until_ms = now_ms + statement.wait_ms
            self._full_until_ms[gateway, start] = until_ms

    def count_send(self, gateway, start, now_ms):
        """Count a request that a gateway sends to a server."""
        key = gateway, start
        self.sends_to_leaving += key in self._leaving
        self.sends_to_full += now_ms < self._full_until_ms.get(key, 0.0)
