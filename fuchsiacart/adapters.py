"""Transport between the processes of the system: gRPC and its interface."""

from abc import ABC
from abc import abstractmethod
from asyncio import CancelledError
from asyncio import current_task
from asyncio import TimeoutError as AsyncTimeoutError
from hmac import compare_digest
from time import monotonic

from grpc.aio import AioRpcError
from grpc.aio import insecure_channel
from grpc.aio import secure_channel
from grpc.aio import server as grpc_server
from grpc.aio import ServerInterceptor
from grpc import ssl_channel_credentials
from grpc import ssl_server_credentials
from grpc import StatusCode
from grpc import stream_unary_rpc_method_handler
from msgspec.msgpack import encode

from fuchsiacart.answer_notices import AnswerNotices
from fuchsiacart.answer_notices import read_notices
from fuchsiacart.answer_notices import write_notices
from fuchsiacart.decoding import decode_body
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import Run
from fuchsiacart.exceptions import TransportError
from fuchsiacart.exceptions import UndecodedError
from fuchsiacart.logs import log_error
from fuchsiacart.logs import log_warning
from fuchsiacart.messages import Refusal
from fuchsiacart.methods import ANSWER_DECODERS
from fuchsiacart.methods import Method
from fuchsiacart.methods import REQUEST_DECODERS
from fuchsiacart.peer_reports import PeerReports
from fuchsiacart.peering_pb2 import Packet
from fuchsiacart.peering_pb2_grpc import add_PeeringServicer_to_server
from fuchsiacart.peering_pb2_grpc import PeeringServicer
from fuchsiacart.peering_pb2_grpc import PeeringStub

MESSAGE_LIMIT_BYTES = 256 * 1024 * 1024
SILENCE_LIMIT_S = 2.0
TOKEN_METADATA_KEY = 'peer-token'
CONNECTION_LIMIT_OPTION = 'grpc.max_allowed_incoming_connections'
GRPC_OPTIONS = (
    ('grpc.max_receive_message_length', MESSAGE_LIMIT_BYTES),
    ('grpc.max_send_message_length', MESSAGE_LIMIT_BYTES),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 500),
    ('grpc.max_reconnect_backoff_ms', 500),
    ('grpc.so_reuseport', 0),
    ('grpc.enable_http_proxy', 0),
)


class PeerAdapter(ABC):
    """Interface for calls to other processes of the system."""

    @abstractmethod
    async def call(self, address, method, message, timeout_s):
        """Call a process and return its answer.

        :param address: IP:port of the process.
        :param method: the :class:`Method` to call.
        :param message: the request.
        :param timeout_s: seconds to wait for the answer.
        :return: the answer.
        :raises TransportError: if no answer came; its ``run`` is NO if the
            call cannot have reached the process.
        :raises FuchsiacartError: if the answer is a :class:`Refusal`.
        """

    def notice_undecoded(self, address, method):
        """Tell a process that content of its answer could not be decoded.

        :param address: IP:port of the process.
        :param method: the :class:`Method` called.
        """

    @abstractmethod
    async def close(self):
        """Close all connections."""


class _Channel:
    def __init__(self, address, credentials):
        if credentials is None:
            self._channel = insecure_channel(address, GRPC_OPTIONS)
        else:
            self._channel = secure_channel(address, credentials, GRPC_OPTIONS)
        self.stub = PeeringStub(self._channel)
        self.last_answer_s = monotonic()

    async def close(self):
        await self._channel.close()


class GrpcAdapter(PeerAdapter):
    """Calls over gRPC, with one channel for each address.

    If a call times out and its channel has had no answer for
    ``SILENCE_LIMIT_S``, the channel is closed and all calls on it fail.  The
    next call opens a new channel.

    :param token: token shared by all processes.
    :param certificate_file: certificate to trust, empty without TLS.
    """

    def __init__(self, token, certificate_file=''):
        self._metadata = ((TOKEN_METADATA_KEY, token),)
        self._credentials = None
        if certificate_file:
            with open(certificate_file, 'rb') as file:
                self._credentials = ssl_channel_credentials(file.read())
        self._channels = {}
        self._notices = AnswerNotices()
        self._reports = PeerReports()

    async def call(self, address, method, message, timeout_s):
        """See :meth:`PeerAdapter.call`."""
        body = _encode_message(message)
        channel = self._get_channel(address)
        stub_method = getattr(channel.stub, method.value)
        notices = self._notices.take(address)
        try:
            packet = await stub_method(
                Packet(body=body),
                timeout=timeout_s,
                metadata=self._metadata + write_notices(notices),
            )
        except CancelledError as error:
            if current_task().cancelling():
                raise
            raise TransportError(
                f'{address}: the channel was dropped', run=Run.UNKNOWN
            ) from error
        except AioRpcError as error:
            await self._drop_if_silent(address, channel, error)
            if error.code() is StatusCode.UNIMPLEMENTED:
                self._reports.request_refused(
                    method, address, 'the method is not known there'
                )
            run = Run.UNKNOWN
            if _is_refused_connection(error):
                run = Run.NO
            raise TransportError(
                f'{address}: {error.code().name.lower()}', run=run
            ) from error
        channel.last_answer_s = monotonic()
        return self._read_answer(address, method, packet.body)

    def notice_undecoded(self, address, method):
        """See :meth:`PeerAdapter.notice_undecoded`."""
        self._notices.add(address, method)

    async def close(self):
        """See :meth:`PeerAdapter.close`."""
        channels = list(self._channels.values())
        self._channels.clear()
        for channel in channels:
            await channel.close()

    def _get_channel(self, address):
        if address not in self._channels:
            self._channels[address] = _Channel(address, self._credentials)
        return self._channels[address]

    def _read_answer(self, address, method, body):
        try:
            answer = decode_body(ANSWER_DECODERS[method], body)
        except UndecodedError as error:
            self._reports.answer_not_decoded(method, address, error.detail)
            self.notice_undecoded(address, method)
            raise TransportError(
                f'{address}: {error.detail}', run=Run.UNKNOWN
            ) from error
        if not isinstance(answer, Refusal):
            return answer
        if answer.kind is ErrorKind.BAD_REQUEST:
            self._reports.request_refused(method, address, answer.detail)
        raise FuchsiacartError(
            answer.detail, answer.kind, answer.run, answer.retry_after_ms
        )

    async def _drop_if_silent(self, address, channel, error):
        if error.code() is not StatusCode.DEADLINE_EXCEEDED:
            return
        if monotonic() - channel.last_answer_s < SILENCE_LIMIT_S:
            return
        if self._channels.get(address) is not channel:
            return
        del self._channels[address]
        log_warning('silent_channel_dropped', address=address)
        await channel.close()


def _encode_message(message):
    try:
        return encode(message)
    except (OverflowError, RecursionError, TypeError) as error:
        raise FuchsiacartError(
            f'{type(message).__name__} cannot be sent: {error}',
            ErrorKind.BAD_REQUEST,
        ) from error


def _is_refused_connection(error):
    if error.code() is not StatusCode.UNAVAILABLE:
        return False
    details = (error.details() or '').lower()
    return 'failed to connect' in details or 'refused' in details


class _Servicer(PeeringServicer):
    """Passes each call to its handler."""

    def __init__(self, handlers):
        self._reports = PeerReports()
        for method in Method:
            handler = handlers.get(method)
            if handler is not None:
                setattr(self, method.value, self._make_method(method, handler))

    def _make_method(self, method, handler):
        async def answer(packet, context):
            self._report_notices(context)
            reply = await self._run_handler(method, handler, packet, context)
            return Packet(body=encode(reply))

        return answer

    def _report_notices(self, context):
        notices = read_notices(context.invocation_metadata() or (), Method)
        for method, count in notices.items():
            self._reports.answer_refused(method, _peer_host(context), count)

    async def _run_handler(self, method, handler, packet, context):
        """Run a handler; return its answer, or its error as a Refusal."""
        try:
            request = decode_body(REQUEST_DECODERS[method], packet.body)
            return await handler(request)
        except UndecodedError as error:
            self._reports.request_not_decoded(
                method, _peer_host(context), error.detail
            )
            return Refusal(error.kind, error.detail, error.run)
        except FuchsiacartError as error:
            return Refusal(
                error.kind, error.detail, error.run, error.retry_after_ms
            )
        except (AsyncTimeoutError, OSError, ValueError, KeyError) as error:
            log_error(
                'peer_call_failed', method=method.value, error=repr(error)
            )
            return Refusal(ErrorKind.INTERNAL, repr(error), Run.UNKNOWN)


def _peer_host(context):
    """Return the address of a caller without the port of its connection."""
    return context.peer().rpartition(':')[0]


class _TokenCheck(ServerInterceptor):
    """Refuses calls with a wrong token before their message is received.

    :param token: token shared by all processes.
    """

    def __init__(self, token):
        self._token = token.encode()

    async def intercept_service(self, continuation, handler_call_details):
        """See :class:`grpc.aio.ServerInterceptor`."""
        metadata = dict(handler_call_details.invocation_metadata or ())
        token = str(metadata.get(TOKEN_METADATA_KEY, ''))
        if compare_digest(token.encode(), self._token):
            return await continuation(handler_call_details)
        # A handler of streams reads no message that it does not ask for.
        return stream_unary_rpc_method_handler(_refuse_stranger)


async def _refuse_stranger(messages, context):
    await context.abort(StatusCode.UNAUTHENTICATED, 'token')


class PeerServer:
    """Server for the calls of other processes.

    :param token: token shared by all processes.
    :param handlers: handler for each :class:`Method` this process offers.
    :param tls: the :class:`TlsSettings`.
    :param connection_limit: how many connections there may be; None for any
        number.
    """

    def __init__(self, token, handlers, tls, connection_limit=None):
        options = GRPC_OPTIONS
        if connection_limit is not None:
            options += ((CONNECTION_LIMIT_OPTION, connection_limit),)
        self._server = grpc_server(
            interceptors=(_TokenCheck(token),), options=options
        )
        servicer = _Servicer(handlers)
        add_PeeringServicer_to_server(servicer, self._server)
        self._tls = tls

    async def start(self, address, port):
        """Start to listen.

        :param address: IP address to listen on.
        :param port: port, 0 for any free one.
        :return: the port in use.
        :raises OSError: if the address and port cannot be bound.
        """
        target = f'{address}:{port}'
        try:
            bound_port = self._bind(target)
        except RuntimeError as error:
            raise OSError(f'cannot listen on {target}') from error
        if bound_port == 0:
            raise OSError(f'cannot listen on {target}')
        await self._server.start()
        return bound_port

    async def stop(self, grace_s):
        """Stop listening; calls in flight are cut off after ``grace_s``."""
        await self._server.stop(grace_s)

    def _bind(self, target):
        if not self._tls.certificate_file:
            return self._server.add_insecure_port(target)
        with open(self._tls.key_file, 'rb') as file:
            key = file.read()
        with open(self._tls.certificate_file, 'rb') as file:
            certificate = file.read()
        credentials = ssl_server_credentials([(key, certificate)])
        return self._server.add_secure_port(target, credentials)
