"""Transitions of claims in the replicated state; a key has one record.

The functions change the records in place and read no clock.
"""

from uuid import UUID

from msgspec.structs import replace

from fuchsiacart.control.claim_records import ClaimRecord
from fuchsiacart.control.claim_records import ClaimState
from fuchsiacart.control.outcomes import Outcome
from fuchsiacart.exceptions import ErrorKind

# A key is accepted for this long after the time that it contains.
KEY_WINDOW_MS = 600_000
# A key may be this far in the future, as the clocks of callers differ.
KEY_SKEW_MS = 30_000
ANSWER_LIMIT_BYTES = 16_384


def key_time_ms(key):
    """Return the time that a UUIDv7 contains (RFC 9562, section 5.7).

    :param key: the key in the usual text form of a UUID.
    :return: milliseconds since the epoch, or None if it is no UUIDv7.
    """
    try:
        parsed = UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return parsed.int >> 80


def claim_name(customer, key):
    """Return the name under which a claim is stored."""
    return f'{customer}/{key}'


def acquire_key(records, command, state, now_ms):
    """Store a record for a key, unless an earlier attempt has one.

    A closed attempt may be followed by one with a higher number.  Records
    of keys that are too old to be accepted are removed.

    :param records: the records by name.
    :param command: the :class:`Claim` or :class:`Close`.
    :param state: the :class:`ClaimState` of the new record.
    :param now_ms: clock of the replicated state, in milliseconds.
    :return: the :class:`Outcome`.
    """
    born_ms = key_time_ms(command.key)
    if born_ms is None or born_ms > now_ms + KEY_SKEW_MS:
        return Outcome(ErrorKind.BAD_KEY, 'the key is not usable')
    if born_ms < now_ms - KEY_WINDOW_MS:
        return Outcome(ErrorKind.KEY_EXPIRED, 'the key is too old')
    _remove_expired(records, now_ms)
    name = claim_name(command.customer, command.key)
    existing = records.get(name)
    if existing is None:
        return _store_record(records, name, command, state)
    if existing.digest != command.digest:
        return Outcome(ErrorKind.KEY_REUSED, 'another request has it')
    if existing.token == command.token:
        granted = existing.state is ClaimState.RUNNING
        return Outcome(granted=granted, record=existing)
    is_closed = existing.state is ClaimState.CLOSED
    if is_closed and command.attempt > existing.attempt:
        return _store_record(records, name, command, state)
    return Outcome(record=existing)


def settle_claim(records, command):
    """Store the result of a claimed request.

    A body above ``ANSWER_LIMIT_BYTES`` is not kept.

    :param records: the records by name.
    :param command: the :class:`Settle`.
    :return: the :class:`Outcome`.
    """
    name = claim_name(command.customer, command.key)
    existing = records.get(name)
    if existing is None or existing.token != command.token:
        return Outcome(ErrorKind.NOT_FOUND, 'no such claim is held')
    if existing.state is not ClaimState.RUNNING:
        return Outcome(record=existing)
    kept = len(command.body) <= ANSWER_LIMIT_BYTES
    record = replace(
        existing,
        state=ClaimState.DONE if command.ran else ClaimState.CLOSED,
        status=command.status,
        content_type=command.content_type,
        body=command.body if kept else b'',
        kept=kept,
    )
    records[name] = record
    return Outcome(record=record)


def _store_record(records, name, command, state):
    record = ClaimRecord(
        state,
        command.attempt,
        command.digest,
        command.owner,
        command.token,
    )
    records[name] = record
    return Outcome(granted=state is ClaimState.RUNNING, record=record)


def _remove_expired(records, now_ms):
    """Remove records of keys that are too old, up to the first valid one.

    The age check refuses these keys from now on.
    """
    horizon_ms = now_ms - KEY_WINDOW_MS
    while records:
        name = next(iter(records))
        if key_time_ms(name.partition('/')[2]) >= horizon_ms:
            return
        del records[name]
