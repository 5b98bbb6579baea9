"""Quarantine of requests that break the backend servers that run them."""

from hashlib import sha256

from msgspec.structs import replace

from fuchsiacart.messages import Suspect

BROKEN_LIMIT = 2
# Losses in a row after which an answer no longer clears a request.
PROOF_LIMIT = 3
SUSPECT_LIMIT = 10_000
# Suspects in one message; the newest are sent first.
MAX_SUSPECTS_IN_MESSAGE = 16


class Quarantine:
    """Suspects known to one host; does no I/O.

    A request that was running on a backend server when the server was lost
    becomes a suspect: its next attempt runs alone on a server.  Once
    ``BROKEN_LIMIT`` servers in a row were lost while they ran it, it is
    refused until its record expires.  Servers that are lost at the same time,
    as in a failure of their domain, count as one.  An answer clears it, unless
    ``PROOF_LIMIT`` servers were lost.  All times are milliseconds of the wall
    clock.

    :param quarantine_ms: milliseconds after which a record expires.
    :param suspicion_ms: the same for a suspect that is not refused, after the
        last word of it; ``quarantine_ms`` if None.
    """

    def __init__(self, quarantine_ms, suspicion_ms=None):
        self._quarantine_ms = quarantine_ms
        self._suspicion_ms = suspicion_ms or quarantine_ms
        self._suspects = {}

    @property
    def is_empty(self):
        """Return True if no suspects are stored."""
        return not self._suspects

    def record_broken(self, digest, server, known_losses, now_ms):
        """Record that a server was lost while it ran a request.

        :param digest: identifies the request; see :func:`request_digest`.
        :param server: names the server, and its start if that is known.
        :param known_losses: result of :meth:`losses_in_row` when the request
            was sent to the server.
        :param now_ms: current time.
        :return: the updated :class:`Suspect`, to be sent to other hosts.
        """
        existing = self._find(digest, now_ms)
        broken = existing.broken if existing else ()
        losses = existing.losses_in_row if existing else 0
        if server not in broken:
            broken += (server,)
            # Losses that an answer has cleared since then do not count.
            losses = max(losses, min(known_losses, losses) + 1)
        suspect = Suspect(digest, broken, now_ms + self._quarantine_ms, losses)
        self._store(suspect, now_ms)
        return suspect

    def clear(self, digest):
        """Remove a suspect that was answered.

        :return: True if there was one, and it is cleared by its answer.
        """
        existing = self._suspects.get(digest)
        if existing is None or existing.losses_in_row >= PROOF_LIMIT:
            return False
        del self._suspects[digest]
        return True

    def merge(self, suspects, now_ms):
        """Merge suspects of other hosts into those of this host."""
        for suspect in suspects:
            if suspect.until_ms <= now_ms:
                continue
            existing = self._find(suspect.digest, now_ms)
            if existing is None:
                self._store(suspect, now_ms)
                continue
            broken = tuple(sorted({*existing.broken, *suspect.broken}))
            until_ms = max(existing.until_ms, suspect.until_ms)
            losses = max(existing.losses_in_row, suspect.losses_in_row)
            merged = Suspect(suspect.digest, broken, until_ms, losses)
            self._store(merged, now_ms)

    def is_quarantined(self, digest, now_ms):
        """Return True if a request must be refused."""
        existing = self._find(digest, now_ms)
        return existing is not None and must_be_refused(existing)

    def is_proved(self, digest, now_ms):
        """Return True if a request is refused whatever else happens."""
        return self.losses_in_row(digest, now_ms) >= PROOF_LIMIT

    def losses_in_row(self, digest, now_ms):
        """Return how many servers were lost in a row running a request."""
        existing = self._find(digest, now_ms)
        return existing.losses_in_row if existing else 0

    def broken_servers(self, digest, now_ms):
        """Return the names of servers that were lost running a request."""
        existing = self._find(digest, now_ms)
        return existing.broken if existing else ()

    def quarantined(self, now_ms):
        """Return the suspects that must be refused."""
        return tuple(
            suspect
            for suspect in self.suspects(now_ms)
            if must_be_refused(suspect)
        )

    def suspects(self, now_ms):
        """Return all suspects that have not expired."""
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

    def _store(self, suspect, now_ms):
        if not must_be_refused(suspect):
            until_ms = min(suspect.until_ms, now_ms + self._suspicion_ms)
            suspect = replace(suspect, until_ms=until_ms)
        self._suspects.pop(suspect.digest, None)
        self._suspects[suspect.digest] = suspect
        while len(self._suspects) > SUSPECT_LIMIT:
            del self._suspects[next(iter(self._suspects))]


def must_be_refused(suspect):
    """Return True if hosts refuse a :class:`Suspect`."""
    return suspect.losses_in_row >= BROKEN_LIMIT


def request_digest(owner, destination, method, path, pieces):
    """Return the SHA-256 digest that identifies a request by its content.

    :param owner: the customer or the object that the request concerns.
    :param destination: name of the service or the host.
    :param method: HTTP method.
    :param path: path with query.
    :param pieces: pieces of the body, each as bytes.
    """
    head = '\n'.join((owner, destination, method, path))
    digest = sha256(head.encode() + b'\n')
    for piece in pieces:
        digest.update(piece)
    return digest.hexdigest()
