"""Tells of servers that have started again under their names."""

from fuchsiacart.logs import log_event


def log_restarts(earlier, records):
    """Log the servers of which the view now has a later start.

    :param earlier: each :class:`TrackedServer` of the view before, by name.
    :param records: each :class:`ServerRecord` of the new view, by name.
    """
    for name, record in records.items():
        server = earlier.get(name)
        if server is not None and server.record.born_ms < record.born_ms:
            log_event(
                'server_restarted',
                server=name,
                born_ms=record.born_ms,
                earlier_born_ms=server.record.born_ms,
                address=record.address,
                state=record.state.value,
            )
