"""Requests that break backend servers."""

from hashlib import sha256

from fuchsiacart.messages import Suspect

BROKEN_LIMIT = 2
SUSPECT_LIMIT = 10_000


class Quarantine:
    """Suspects known to one host, pure.

    A request that was running on a backend server when that was lost is
    suspect: its next attempt runs alone on a server.  After ``BROKEN_LIMIT``
    different servers it is refused until its time is over.

    :param quarantine_ms: how long a suspect is remembered.
    """

    def __init__(self, quarantine_ms):
        self._quarantine_ms = quarantine_ms
        self._suspects = {}

    @property
    def is_empty(self):
        """Tell whether no suspect is remembered."""
        return not self._suspects

    def record_broken(self, digest, server, now_ms):
        """Take note that a server was lost while it ran a request.

        :param digest: what identifies the request.
        :param server: name of the server.
        :param now_ms: wall clock.
        :return: the suspect, to be told to the other hosts.
        """
        existing = self._find(digest, now_ms)
        broken = existing.broken if existing else ()
        if server not in broken:
            broken += (server,)
        suspect = Suspect(digest, broken, now_ms + self._quarantine_ms)
        self._keep(suspect)
        return suspect

    def clear(self, digest):
        """Forget a suspect that has been answered."""
        existing = self._suspects.get(digest)
        if existing is not None and len(existing.broken) < BROKEN_LIMIT:
            del self._suspects[digest]

    def merge(self, suspects, now_ms):
        """Take in what other hosts know."""
        for suspect in suspects:
            if suspect.until_ms <= now_ms:
                continue
            existing = self._find(suspect.digest, now_ms)
            if existing is None:
                self._keep(suspect)
                continue
            broken = tuple(sorted({*existing.broken, *suspect.broken}))
            until_ms = max(existing.until_ms, suspect.until_ms)
            self._keep(Suspect(suspect.digest, broken, until_ms))

    def is_quarantined(self, digest, now_ms):
        """Tell whether a request is refused."""
        existing = self._find(digest, now_ms)
        return existing is not None and len(existing.broken) >= BROKEN_LIMIT

    def broken_servers(self, digest, now_ms):
        """Return the servers that a request has broken."""
        existing = self._find(digest, now_ms)
        return existing.broken if existing else ()

    def quarantined(self, now_ms):
        """Return the suspects that are refused."""
        return tuple(
            suspect
            for suspect in self.suspects(now_ms)
            if len(suspect.broken) >= BROKEN_LIMIT
        )

    def suspects(self, now_ms):
        """Return all suspects whose time is not over."""
        return tuple(
            suspect
            for suspect in self._suspects.values()
            if suspect.until_ms > now_ms
        )

    def _find(self, digest, now_ms):
        existing = self._suspects.get(digest)
        if existing is None or existing.until_ms <= now_ms:
            return None
        return existing

    def _keep(self, suspect):
        self._suspects.pop(suspect.digest, None)
        self._suspects[suspect.digest] = suspect
        while len(self._suspects) > SUSPECT_LIMIT:
            del self._suspects[next(iter(self._suspects))]


def request_digest(customer, service, method, path, body):
    """Return what identifies a request by its content.

    :param customer: the customer, or what else tells callers apart.
    :param service: the service.
    :param method: HTTP method.
    :param path: path with query.
    :param body: the body as bytes.
    """
    head = '\n'.join((customer, service, method, path))
    return sha256(head.encode() + b'\n' + body).hexdigest()
