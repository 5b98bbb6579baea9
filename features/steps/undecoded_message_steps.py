"""Steps for messages that cannot be decoded, over real channels."""

from asyncio import run
from logging import Handler

from absl import logging
from behave import given
from behave import then
from behave import when
from grpc.aio import insecure_channel
from msgspec.msgpack import encode
from msgspec import Raw
from prometheus_client import REGISTRY

from features.steps.build_status_steps import PEER_TOKEN
from features.steps.connection_steps import ConnectionFixture
from features.steps.connection_steps import TIMEOUT_S
from features.steps.connection_steps import TOKEN
from fuchsiacart.adapters import GrpcAdapter
from fuchsiacart.adapters import Method
from fuchsiacart.adapters import TOKEN_METADATA_KEY
from fuchsiacart.answer_notices import NOTICE_METADATA_KEY
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import Run
from fuchsiacart.messages import GossipReply
from fuchsiacart.messages import GossipRequest
from fuchsiacart.messages import PullReply
from fuchsiacart.messages import PullRequest
from fuchsiacart.peering_pb2 import Packet
from fuchsiacart.peering_pb2_grpc import PeeringStub
from tools.compatibility.samples import make_samples

NOT_DECODED = 'fuchsiacart_peer_messages_not_decoded_total'
REFUSED = 'fuchsiacart_peer_messages_refused_total'
TOO_DEEP = b'\x91' * 100_000 + b'\xc0'


class KeptLog(Handler):
    """Keeps the lines that this process logs."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        """Keep a line."""
        self.lines.append(record.getMessage())

    def count(self, event):
        """Return the number of lines of an event."""
        return sum(f'event={event} ' in line for line in self.lines)

    def open(self):
        """Start to keep lines."""
        logger = logging.get_absl_logger()
        logger.addHandler(self)
        logger.propagate = False
        logging.set_verbosity(logging.INFO)

    def close(self):
        """Keep no more lines."""
        logger = logging.get_absl_logger()
        logger.removeHandler(self)
        logger.propagate = True
        logging.set_verbosity(logging.FATAL)
        super().close()


def make_odd_body(oddity, message, other_message):
    """Return the bytes of a message with an oddity.

    :param oddity: what is odd about it.
    :param message: a proper message.
    :param other_message: a message that only another method takes.
    """
    body = encode(message)
    fields = {'type': type(message).__name__}
    for name in message.__struct_fields__:
        fields[name] = getattr(message, name)
    first = message.__struct_fields__[0]
    if oddity == 'of an unknown kind':
        return encode(fields | {'type': 'Unheard'})
    if oddity == 'of another method':
        return encode(other_message)
    if oddity == 'without a field':
        return encode({'kind': 'no type'})
    if oddity == 'with a field of another type':
        return encode(fields | {first: {'a': 1}})
    if oddity == 'cut off':
        return body[:-1]
    if oddity == 'nested too deeply':
        return encode(fields | {'colour': Raw(TOO_DEEP)})
    if oddity == 'of no bytes':
        return b''
    return encode(7)


def read_counter(name, **labels):
    """Return the value of a counter, 0 if it does not exist yet."""
    return REGISTRY.get_sample_value(name, labels) or 0


def read_counters():
    """Return the counters of messages that are not decoded or refused."""
    return {
        'request': read_counter(NOT_DECODED, method='Pull', part='request'),
        'answer': read_counter(NOT_DECODED, method='Pull', part='answer'),
        'refused': sum(
            read_counter(REFUSED, method=method.value, part='request')
            for method in Method
        ),
        'answers refused': sum(
            read_counter(REFUSED, method=method.value, part='answer')
            for method in Method
        ),
    }


def counted(context, name):
    """Return by how much a counter has grown in the scenario."""
    return read_counters()[name] - context.counters[name]


@given('a peer whose answers are messages {oddity}')
def given_odd_answers(context, oddity):
    reply = GossipReply(())
    body = make_odd_body(oddity, PullReply(), reply)

    async def answer(request):
        # encode() copies Raw bytes as they are.
        return Raw(body)

    context.connection = ConnectionFixture(answer)
    context.resources.callback(context.connection.close)


@given('the log of this process is kept')
def given_log(context):
    context.log = KeptLog()
    context.log.open()
    context.resources.callback(context.log.close)
    context.counters = read_counters()


@when('it is called with a request {oddity}')
def when_called_oddly(context, oddity):
    call_oddly(context, oddity, 1)


@when('it is called {count:d} times with a request {oddity}')
def when_called_often(context, count, oddity):
    call_oddly(context, oddity, count)


def call_oddly(context, oddity, count):
    """Call the process some times and keep the last error."""
    body = make_odd_body(oddity, PullRequest(1, 1), GossipRequest(()))
    for _ in range(count):
        context.error = call(context, Method.PULL, Raw(body))


def call(context, method, message):
    """Call the process and return the error, None if there is none."""
    connection = context.connection
    try:
        connection.run(
            connection.adapter.call(
                connection.address, method, message, TIMEOUT_S
            )
        )
    except FuchsiacartError as error:
        return error
    return None


@when('it is called {count:d} times')
def when_called_times(context, count):
    for _ in range(count):
        context.error = call(context, Method.PULL, PullRequest(1, 1))


@when('it is called with the notice "{notice}"')
def when_noticed(context, notice):
    """Call as a peer does that could not decode answers."""
    connection = context.connection
    metadata = (
        (TOKEN_METADATA_KEY, TOKEN),
        (NOTICE_METADATA_KEY, notice),
    )

    async def send():
        async with insecure_channel(connection.address) as channel:
            stub = PeeringStub(channel)
            packet = Packet(body=encode(PullRequest(1, 1)))
            return await stub.Pull(
                packet, metadata=metadata, timeout=TIMEOUT_S
            )

    context.packet = connection.run(send())


@then('the call is answered')
def then_packet(context):
    assert context.packet.body == encode(PullReply()), context.packet


@then('the peer has counted {count:d} answers that were not decoded')
def then_told(context, count):
    assert counted(context, 'answers refused') == count, read_counters()


@when('a gateway of this build renews its lease there and reports a suspect')
def when_renewed(context):
    """Renew with a value in each field."""
    request = make_samples()['message']['KeepAliveRequest']

    async def renew():
        adapter = GrpcAdapter(PEER_TOKEN)
        try:
            await adapter.call(
                context.host.peer_address,
                Method.KEEP_ALIVE,
                request,
                TIMEOUT_S,
            )
        except FuchsiacartError as error:
            return error
        finally:
            await adapter.close()

    context.error = run(renew())


@when('it is called by a method that it does not offer')
def when_method_unknown(context):
    context.error = call(context, Method.GOSSIP, GossipRequest(()))


@then('the call failed and may have run')
def then_may_have_run(context):
    assert isinstance(context.error, FuchsiacartError), context.error
    assert context.error.run is Run.UNKNOWN, context.error


@then('the receiver has counted {count:d} requests that it could not decode')
def then_not_decoded(context, count):
    assert counted(context, 'request') == count, read_counters()


@then('the sender has counted {count:d} requests that were refused')
def then_refused(context, count):
    assert counted(context, 'refused') == count, read_counters()


@then('the caller has counted {count:d} answers that it could not decode')
def then_answers(context, count):
    assert counted(context, 'answer') == count, read_counters()


@then(
    '{first:d} lines of {first_event} and {second:d} of {second_event} are'
    ' logged'
)
def then_logged(context, first, first_event, second, second_event):
    counts = context.log.count(first_event), context.log.count(second_event)
    assert counts == (first, second), context.log.lines


@then('it answers the next call')
def then_answers_next(context):
    error = call(context, Method.PULL, PullRequest(1, 1))
    assert error is None, error
