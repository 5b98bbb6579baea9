"""HTTP interface of the control role for operators."""

from hmac import compare_digest

from msgspec import convert
from msgspec.json import decode
from msgspec.json import encode
from msgspec import MsgspecError
from msgspec import to_builtins
from tornado.web import Application
from tornado.web import RequestHandler

from fuchsiacart.clocks import wall_ms
from fuchsiacart.control.commands import CancelDrain
from fuchsiacart.control.commands import Change
from fuchsiacart.control.commands import PutContract
from fuchsiacart.control.commands import StartDrain
from fuchsiacart.control.replacements import Replacement
from fuchsiacart.control.replica_states import Group
from fuchsiacart.exceptions import ChangeError
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import Run
from fuchsiacart.metrics import MetricsHandler
from fuchsiacart.models import ChangeId
from fuchsiacart.models import Contract
from fuchsiacart.models import CustomerId
from fuchsiacart.models import Drain
from fuchsiacart.models import token_digest
from fuchsiacart.problems import problem_document
from fuchsiacart.problems import PROBLEM_TYPE

CHANGE_ID_HEADER = 'Fuchsiacart-Change-Id'
ACTOR_HEADER = 'Fuchsiacart-Actor'
VERSION_HEADER = 'If-Match'


class OperatorHandler(RequestHandler):
    """Base class of the operators' handlers: token, errors and JSON.

    :param service: the :class:`ControlService`.
    :param operator_digest: SHA-256 digest of the operators' token.
    """

    def initialize(self, service, operator_digest):
        """Store the arguments that the application passes."""
        self.service = service
        self._operator_digest = operator_digest

    def prepare(self):
        """Refuse a request without the operators' token.

        :raises ChangeError: if the token is missing or wrong.
        """
        header = self.request.headers.get('Authorization', '')
        scheme, _, token = header.partition(' ')
        digest = token_digest(token)
        is_valid = compare_digest(digest, self._operator_digest)
        if scheme != 'Bearer' or not is_valid:
            raise ChangeError('operator token', ErrorKind.UNAUTHORIZED)

    def write_error(self, status_code, **kwargs):
        """Send an error as a problem document (RFC 9457)."""
        error = kwargs['exc_info'][1] if 'exc_info' in kwargs else None
        if not isinstance(error, FuchsiacartError):
            kind = ErrorKind.INTERNAL
            if status_code < 500:
                kind = ErrorKind.BAD_REQUEST
            error = ChangeError(str(error), kind, Run.UNKNOWN)
        self.set_status(error.answer.status)
        self.set_header('Content-Type', PROBLEM_TYPE)
        self.finish(problem_document(error))

    def log_exception(self, typ, value, tb):
        """Log unexpected errors only."""
        if not isinstance(value, FuchsiacartError):
            super().log_exception(typ, value, tb)

    def reply(self, answer):
        """Send an object as JSON."""
        self.set_header('Content-Type', 'application/json')
        self.finish(encode(answer))

    def change(self):
        """Return the :class:`Change` that the request's headers describe.

        :raises ChangeError: if the change id is missing.
        """
        change_id = self.request.headers.get(CHANGE_ID_HEADER, '')
        if not change_id:
            raise ChangeError(
                f'{CHANGE_ID_HEADER} is missing', ErrorKind.BAD_REQUEST
            )
        actor = self.request.headers.get(ACTOR_HEADER, 'operator')
        return Change(ChangeId(change_id), actor, wall_ms())

    def has_left(self):
        """Return True once the operator has closed the connection."""
        return self.request.connection.stream.closed()

    def decode_body(self, kind):
        """Decode the JSON body into a type.

        :param kind: the type.
        :raises ChangeError: if the body is invalid; names the invalid key.
        """
        try:
            return convert(decode(self.request.body), kind)
        except (MsgspecError, ValueError) as error:
            raise ChangeError(str(error), ErrorKind.BAD_REQUEST) from error


class ContractsHandler(OperatorHandler):
    """``/v1/contracts``: all contracts."""

    async def get(self):
        """Send the contracts with their versions."""
        state = await self.service.current_state()
        self.reply(list(state.contracts.values()))


class ContractHandler(OperatorHandler):
    """``/v1/contracts/CUSTOMER``: one contract."""

    async def get(self, customer):
        """Send the contract with its version."""
        state = await self.service.current_state()
        contract = state.contracts.get(customer)
        if contract is None:
            raise ChangeError(customer, ErrorKind.NOT_FOUND)
        self.reply(contract)

    async def put(self, customer):
        """Replace the contract if If-Match holds its current version."""
        contract = self.decode_body(Contract)
        if contract.customer != CustomerId(customer):
            raise ChangeError(
                'the path and the contract name different customers',
                ErrorKind.BAD_REQUEST,
            )
        expected = self.request.headers.get(VERSION_HEADER, '').strip('"')
        if not expected.isdigit():
            raise ChangeError(
                f'{VERSION_HEADER} must hold the version, 0 if new',
                ErrorKind.BAD_REQUEST,
            )
        command = PutContract(self.change(), int(expected), contract)
        self.reply(await self.service.commit(command, self.has_left))


class DrainsHandler(OperatorHandler):
    """``/v1/drains``: planned drains."""

    async def get(self):
        """Send the drains with their progress."""
        self.reply(await self.service.drain_progress())

    async def post(self):
        """Start a drain."""
        command = StartDrain(self.change(), self.decode_body(Drain))
        self.reply(await self.service.commit(command, self.has_left))

    async def delete(self):
        """Cancel a drain."""
        command = CancelDrain(self.change(), self.decode_body(Drain))
        self.reply(await self.service.commit(command, self.has_left))


class AuditHandler(OperatorHandler):
    """``/v1/audit``: the audit log."""

    async def get(self):
        """Send the changes, oldest first, optionally of one ``subject``."""
        state = await self.service.current_state()
        subject = self.get_query_argument('subject', '')
        entries = [
            entry
            for entry in state.audit
            if not subject or entry.subject == subject
        ]
        self.reply(entries)


class StatusHandler(OperatorHandler):
    """``/v1/status``: status of the whole system."""

    async def get(self):
        """Send the status."""
        self.reply(to_builtins(await self.service.status()))


class GroupHandler(OperatorHandler):
    """``/v1/group``: the control group, as this control host knows it."""

    async def get(self):
        """Send the status of this replica; needs no quorum."""
        self.reply(self.service.replica_status())

    async def post(self):
        """Set the initial members on a blank control host."""
        await self.service.bootstrap(self.decode_body(Group))
        self.reply(self.service.replica_status())

    async def put(self):
        """Replace one replica by another; answers when this is done."""
        replacement = self.decode_body(Replacement)
        await self.service.replace_replica(replacement)
        self.reply(self.service.replica_status())


def make_operator_application(service, operator_digest):
    """Return the Tornado application for operators.

    :param service: the :class:`ControlService`.
    :param operator_digest: SHA-256 digest of the operators' token.
    """
    context = {'service': service, 'operator_digest': operator_digest}
    routes = [
        ('/v1/contracts', ContractsHandler, context),
        ('/v1/contracts/([^/]+)', ContractHandler, context),
        ('/v1/drains', DrainsHandler, context),
        ('/v1/audit', AuditHandler, context),
        ('/v1/status', StatusHandler, context),
        ('/v1/group', GroupHandler, context),
        ('/metrics', MetricsHandler),
    ]
    return Application(routes, log_function=lambda handler: None)
