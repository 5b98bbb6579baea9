"""Steps for control groups whose links take time for the bytes they carry."""

from behave import given
from behave import when
from msgspec import Struct

from features.steps.replaced_host_steps import lose_random_disk
from features.steps.replaced_host_steps import NEW_HOST
from features.steps.replaced_host_steps import REPLACEMENT_LIMIT_MS
from features.steps.replaced_host_steps import ReplacingGroup
from features.steps.simulated_group_steps import DELAY_MS
from features.steps.simulated_group_steps import TICK_MS
from fuchsiacart.clocks import MILLISECONDS
from fuchsiacart.control.addresses import host_of
from fuchsiacart.control.pending_sends import PendingSend
from fuchsiacart.control.pending_sends import PendingSends
from fuchsiacart.control.replica_messages import OutboundMessage
from fuchsiacart.control.replica_messages import RESPONSES

HEADER_BYTES = 200
BITS_PER_BYTE = 8
# Renewals of leases and reads make the leader confirm that it leads.
ROUND_INTERVAL_MS = 60


class Transfer(Struct):
    """A message that a link carries, and the bytes of it that are left."""

    send: PendingSend
    left_bytes: float
    until_ms: float


class NarrowLinkGroup(ReplacingGroup):
    """Hosts whose messages share the capacity of the link to a host.

    All messages on a link advance at the same time, as those of one HTTP/2
    connection do.  One that takes longer than its timeout is given up.

    :param seed: seed of the timers and of the network.
    :param bytes_per_ms: capacity of each link.
    """

    def __init__(self, seed, bytes_per_ms):
        self._bytes_per_ms = bytes_per_ms
        self._links = {}
        self._sends = {}
        self._calls = []
        self.change_bytes = 0
        self.change_interval_ms = 0
        super().__init__(seed)

    def append(self, count, size_bytes):
        """Commit commands of a size, some at a time."""
        for _ in range(count):
            self._apply(
                self.leader(),
                lambda steps, state: steps.rules.propose(
                    state, (bytes(size_bytes),)
                ),
            )
            self.run(TICK_MS)
        self.run(MILLISECONDS)

    def _advance(self):
        self._carry()
        self._end_calls()
        super()._advance()
        if self.now_ms % ROUND_INTERVAL_MS == 0:
            for name in self.names:
                self._apply(
                    name, lambda steps, state: steps.rules.heartbeat(state)
                )
        if self.change_interval_ms:
            if self.now_ms % self.change_interval_ms == 0:
                for name in self.names:
                    self._apply(name, self._change)

    def _change(self, steps, state):
        return steps.rules.propose(state, (bytes(self.change_bytes),))

    def _send(self, name, to, message):
        if isinstance(message, RESPONSES):
            super()._send(name, to, message)
            return
        outbound = OutboundMessage(to, message)
        sends = self._sends.setdefault(name, PendingSends())
        send = sends.start(outbound)
        if send is None or not send.is_whole:
            rules = self.steps[name].rules
            self.states[name] = rules.take_back(self.states[name], outbound)
        if send is None:
            return
        size_bytes = HEADER_BYTES + send.size_bytes
        until_ms = self.now_ms + send.timeout_s * MILLISECONDS
        link = self._links.setdefault((name, host_of(to)), [])
        link.append(Transfer(send, size_bytes, until_ms))

    def _carry(self):
        """Carry what the links can carry in a millisecond."""
        for (name, host), link in self._links.items():
            for transfer in tuple(link):
                transfer.left_bytes -= self._bytes_per_ms / len(link)
                if transfer.left_bytes <= 0:
                    link.remove(transfer)
                    self._arrive(name, host, transfer)
                elif self.now_ms >= transfer.until_ms:
                    link.remove(transfer)
                    self._sends[name].end(transfer.send, False)

    def _arrive(self, name, host, transfer):
        """Deliver a message to whichever replica runs on the host."""
        receiver = next(
            (
                each
                for each in self.names
                if host_of(each) == host and each not in self.stopped
            ),
            None,
        )
        end_ms = transfer.until_ms
        if receiver is not None:
            super()._send(name, receiver, transfer.send.outbound.message)
            end_ms = self.now_ms + 2 * DELAY_MS
        is_answered = receiver is not None
        self._calls.append((end_ms, name, transfer.send, is_answered))

    def _end_calls(self):
        ended = [call for call in self._calls if call[0] <= self.now_ms]
        self._calls = [call for call in self._calls if call[0] > self.now_ms]
        for _, name, send, is_answered in ended:
            self._sends[name].end(send, is_answered)


@given(
    'groups of 5 voters in simulated time with links of {megabits:d} Mbit/s,'
    ' seeds {first:d} to {last:d}'
)
def given_narrow_groups(context, megabits, first, last):
    bytes_per_ms = megabits * 1_000_000 / BITS_PER_BYTE / MILLISECONDS
    context.groups = [
        NarrowLinkGroup(seed, bytes_per_ms) for seed in range(first, last + 1)
    ]


@given('logs of {count:d} commands of {size_bytes:d} bytes')
def given_long_logs(context, count, size_bytes):
    for group in context.groups:
        group.append(count, size_bytes)


@when(
    'a {loss} while a change of {size_bytes:d} bytes comes each'
    ' {interval_ms:d} ms'
)
def when_lost_beside_changes(context, loss, size_bytes, interval_ms):
    """Replace a voter of each group; a limit ends the wait."""
    successor_host = NEW_HOST if loss == 'voter is exchanged' else None
    for group in context.groups:
        group.change_bytes = size_bytes
        group.change_interval_ms = interval_ms
        lose_random_disk(group, successor_host)
        group.run_until(group.is_replaced, REPLACEMENT_LIMIT_MS)
        for each in group.replacements:
            each.replaced_ms = each.replaced_ms or group.now_ms
