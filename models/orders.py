"""Model of orders that carry neither a version nor an age.

An operator gives orders for one subject, one after the other.  It sends copies
of an order to several control hosts and goes on once one is acknowledged, or
gives it up.  A copy may be read at any later time: the host notes how far it
has applied the log, then makes sure that the operator still waits.  The leader
may receive it later still and decides by the product's ``OrderPositions``.
"""

from minicheck import Protocol
from msgspec import Struct
from msgspec.structs import astuple
from msgspec.structs import replace

from fuchsiacart.control.order_positions import OrderPositions

SUBJECT = 'evacuation/cymru-a'
UNREAD = -1


class Faults(Struct, frozen=True):
    """Faults that can be seeded, to prove that the model finds them."""

    noted_after_check: bool = False
    caller_not_checked: bool = False
    index_not_checked: bool = False
    forgotten_on_new_term: bool = False


class Copy(Struct, frozen=True):
    """One copy of an order.

    ``seen_index`` is ``UNREAD`` until a host has read the copy, and
    ``is_checked`` True once the operator was seen to wait for it.
    """

    order: int
    seen_index: int = UNREAD
    is_checked: bool = False


class OrdersWorld(Struct, frozen=True):
    """State of the model.

    ``current`` is the order that the operator waits for, ``acked`` the newest
    acknowledged one, ``sent`` the number of copies that were sent, ``copies``
    those that are not decided yet, ``log`` the orders that were appended and
    ``term_start`` the length of the log when the leader's term began.
    """

    current: int = 0
    acked: int = -1
    sent: int = 0
    copies: tuple[Copy, ...] = ()
    log: tuple[int, ...] = ()
    term_start: int = 0
    violation: str = ''


class OrdersModel:
    """An operator, control hosts that read late, and leaders.

    :param orders: number of orders.
    :param copies: maximum number of copies of all orders.
    :param faults: the :class:`Faults` to seed.
    """

    def __init__(self, orders, copies, faults=Faults()):
        self._orders = orders
        self._copies = copies
        self._faults = faults

    def protocol(self):
        """Return the protocol, with its steps and invariant."""
        return Protocol(
            name='orders',
            candidate=False,
            fields=('world',),
            initial=(OrdersWorld(),),
            transitions=self._transitions,
            invariants={
                'no order follows a later one that was acknowledged': (
                    lambda s: not s['world'].violation
                ),
            },
        )

    def _transitions(self, fields):
        world = fields[0]
        if world.violation:
            return []
        return [
            (name, (next_world,))
            for name, next_world in (
                *self._operator_steps(world),
                *self._copy_steps(world),
                *self._leader_steps(world),
            )
        ]

    def _operator_steps(self, world):
        if world.current >= self._orders:
            return
        if world.sent < self._copies:
            yield 'send', replace(
                world,
                sent=world.sent + 1,
                copies=_sort(world.copies + (Copy(world.current),)),
            )
        yield 'give up', replace(world, current=world.current + 1)
        if world.current in world.log:
            yield 'acknowledge', replace(
                world, acked=world.current, current=world.current + 1
            )

    def _copy_steps(self, world):
        for position, copy in enumerate(world.copies):
            if copy.seen_index == UNREAD:
                # A host may not have applied all of the log.
                for index in range(len(world.log) + 1):
                    changed = replace(copy, seen_index=index)
                    yield f'read {position}', _put(world, position, changed)
            elif not copy.is_checked:
                yield f'check {position}', self._check(world, position, copy)

    def _check(self, world, position, copy):
        """Return the world once the host has looked for the operator."""
        has_left = copy.order != world.current
        if has_left and not self._faults.caller_not_checked:
            return _remove(world, position)
        seen_index = copy.seen_index
        if self._faults.noted_after_check:
            seen_index = len(world.log) + 1
        return _put(world, position, Copy(copy.order, seen_index, True))

    def _leader_steps(self, world):
        yield 'new term', replace(world, term_start=len(world.log))
        for position, copy in enumerate(world.copies):
            if copy.is_checked:
                yield f'propose {position}', self._propose(
                    world, position, copy
                )

    def _propose(self, world, position, copy):
        next_world = _remove(world, position)
        is_outdated = self._positions(world).is_outdated(
            SUBJECT, copy.seen_index
        )
        if is_outdated and not self._faults.index_not_checked:
            return next_world
        violation = 'late' if copy.order < world.acked else ''
        return replace(
            next_world, log=world.log + (copy.order,), violation=violation
        )

    def _positions(self, world):
        """Return what the leader remembers of its log."""
        positions = OrderPositions()
        is_forgetful = self._faults.forgotten_on_new_term
        positions.start_term(1, 0 if is_forgetful else world.term_start)
        for index in range(world.term_start, len(world.log)):
            positions.note(SUBJECT, index + 1)
        return positions


def _put(world, position, copy):
    """Return the world with another copy at a position."""
    others = world.copies[:position] + world.copies[position + 1 :]
    return replace(world, copies=_sort(others + (copy,)))


def _remove(world, position):
    """Return the world without the copy at a position."""
    return replace(
        world, copies=world.copies[:position] + world.copies[position + 1 :]
    )


def _sort(copies):
    """Return copies in an order that makes equal worlds equal."""
    return tuple(sorted(copies, key=astuple))
