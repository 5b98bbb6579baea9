"""HTTP interface of a gateway for operators."""

from fuchsiacart.control.operators import OperatorHandler
from fuchsiacart.gateway.operators.explanations import explain
from fuchsiacart.gateway.operators.explanations import Question


class ExplainHandler(OperatorHandler):
    """Explains where a request would go.

    ``service`` is the :class:`GatewayHost`.
    """

    def get(self):
        """Return the :class:`Explanation` as JSON."""
        question = Question(
            self.get_query_argument('host'),
            self.get_query_argument('path'),
            self.get_query_argument('account', ''),
            self.get_query_argument('object', ''),
        )
        self.reply(explain(self.service.forwarder, question))
