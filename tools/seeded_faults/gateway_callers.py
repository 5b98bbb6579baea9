"""Faults of gateways towards their callers."""

from tools.seeded_faults.faults import Fault

GATEWAY_CALLER_FAULTS = (
    Fault(
        'a kept connection holds the limit of heads of before',
        'gateway/message_streams.py',
        'self._parameters().max_header_size - len(first)',
        'max_bytes - len(first)',
        'pipelining',
    ),
    Fault(
        'a kept connection holds the limit of bodies of before',
        'gateway/caller_exchanges.py',
        'limit_bytes = self._parameters().max_body_size',
        'limit_bytes = self._parser.params.max_body_size',
        'pipelining',
    ),
    Fault(
        'an idle connection holds the timeout of before',
        'gateway/callers.py',
        'for connection in tuple(self._connections):\n'
        '            connection.apply_idle_timeout()',
        'pass',
        'pipelining',
    ),
    Fault(
        'a planned stop drops what it reads behind an unanswered request',
        'gateway/caller_connections.py',
        '        if self._is_closing:\n            return\n'
        '        self._is_closing = exchange.is_last\n',
        '        if self._is_closing or (\n'
        '            self._server.is_stopping and self._exchanges\n'
        '        ):\n'
        '            self._is_closing = True\n'
        '            return\n'
        '        self._is_closing = exchange.is_last\n',
        'pipelining',
    ),
    Fault(
        'a planned stop starts what arrives behind its close',
        'gateway/caller_connections.py',
        '        if self._is_closing:\n            return\n'
        '        self._is_closing = exchange.is_last\n',
        '        self._is_closing = exchange.is_last\n',
        'pipelining',
    ),
    Fault(
        'a head that is too large gets a bare close',
        'gateway/message_streams.py',
        'read_until_regex(pattern)',
        'read_until_regex(regex, left_bytes)',
        'pipelining',
    ),
    Fault(
        'a body that is too large is refused without its reason',
        'gateway/message_streams.py',
        'self.refusal = RequestError(detail, ErrorKind.BODY_TOO_LARGE)',
        'pass',
        'pipelining',
    ),
    Fault(
        'a refused body is cut off while its caller sends',
        'gateway/caller_connections.py',
        'if quiet_s >= LINGER_S or left_s <= 0:',
        'if True:',
        'pipelining',
    ),
    Fault(
        'a refusal overtakes the answers before it',
        'gateway/caller_exchanges.py',
        'await self.turn.wait()\n        answer = self.refusal.answer',
        'answer = self.refusal.answer',
        'pipelining',
    ),
    Fault(
        'an extension of a chunk is refused',
        'gateway/chunk_readers.py',
        '((?:[ \\t]*;[^\\r\\n]*)?)',
        '()',
        'pipelining',
    ),
    Fault(
        'a trailer is taken for the next request',
        'gateway/chunk_readers.py',
        '            await self._read_trailers()\n',
        '            await self._read_line(0, ErrorKind.HEAD_TOO_LARGE)\n',
        'pipelining',
    ),
    Fault(
        'extensions and trailers have no bound',
        'gateway/chunk_readers.py',
        'if len(line) > most_bytes:',
        'if False:',
        'pipelining',
    ),
)
