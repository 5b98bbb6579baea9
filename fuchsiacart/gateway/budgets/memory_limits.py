"""How much of the memory of a machine a process may hold for clients."""

from os import sysconf

MIB = 1024 * 1024
# What a process has without any client.
PROCESS_BYTES = 64 * MIB
# Part of the rest that is held for clients.  The allocator, copies on their
# way and buffers of the kernel take from what is left.
HELD_PART = 0.6
MIN_HELD_BYTES = 16 * MIB
# What a connection takes in this process and in the kernel.
CONNECTION_BYTES = 16 * 1024
# What each item of a JSON document takes once it is decoded.
ITEM_BYTES = 80
# Bounds of what the kernel holds for a connection of a caller, and for one of
# another client, in each direction.
CALLER_SOCKET_BYTES = 256 * 1024
CLIENT_SOCKET_BYTES = 64 * 1024


def read_machine_bytes():
    """Return the memory of this machine in bytes."""
    return sysconf('SC_PHYS_PAGES') * sysconf('SC_PAGE_SIZE')


def compute_limit_bytes(machine_bytes):
    """Return how many bytes a process may hold for clients.

    :param machine_bytes: memory of its machine.
    """
    rest_bytes = machine_bytes - PROCESS_BYTES
    return max(MIN_HELD_BYTES, int(rest_bytes * HELD_PART))


def compute_document_bytes(pieces):
    """Return at most how many bytes a JSON document takes once decoded.

    :param pieces: its parts as bytes.
    """
    return ITEM_BYTES * sum(
        piece.count(b',') + piece.count(b'[') + piece.count(b'{')
        for piece in pieces
    )
