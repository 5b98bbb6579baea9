"""A small HTTP/1.1 client for clients, instances and operators."""

from asyncio import open_connection
from asyncio import timeout


class Answer:
    """Status, headers with lower-case names, and body of an answer."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin1')
    first, *lines = head[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        parts = []
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b''.join(parts)
    return await reader.readexactly(int(headers.get('content-length', 0)))


async def read_answer(reader):
    """Return the :class:`Answer` that comes next on a connection."""
    first, headers = await read_head(reader)
    body = await read_body(reader, headers)
    return Answer(int(first.split()[1]), headers, body)


def encode_request(method, path, headers, body=b''):
    """Return a request as bytes."""
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body or method not in ('GET', 'DELETE'):
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin1') + b'\r\n\r\n' + body


async def call(address, method, path, body=b'', headers=None, timeout_s=1.0):
    """Make one call over a new connection.

    :return: the :class:`Answer`, or None if none came within the time.
    """
    host, _, port = address.rpartition(':')
    writer = None
    fields = {'Host': address, 'Connection': 'close'} | (headers or {})
    try:
        async with timeout(timeout_s):
            reader, writer = await open_connection(host, int(port))
            writer.write(encode_request(method, path, fields, body))
            return await read_answer(reader)
    except (OSError, EOFError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
