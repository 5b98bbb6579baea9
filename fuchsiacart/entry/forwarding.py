"""Forwards requests from an entry host to the owners of backend servers."""

from asyncio import sleep
from uuid import uuid4

from fuchsiacart.adapters import Method
from fuchsiacart.clocks import steady_ms
from fuchsiacart.clocks import wall_ms
from fuchsiacart.entry.links import LinkBudget
from fuchsiacart.entry.routing import Candidate
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.exceptions import FuchsiacartError
from fuchsiacart.exceptions import Run
from fuchsiacart.messages import ForwardReply
from fuchsiacart.messages import ForwardRequest
from fuchsiacart.messages import Refusal

FORWARD_MARGIN_S = 0.2
OWNER_WAIT_MS = 1000
OWNER_POLL_S = 0.05


class Forwarder:
    """Chooses an owner for each attempt and forwards the request to it.

    :param settings: the settings of the process.
    :param components: the :class:`Components` of this entry host.
    """

    def __init__(self, settings, components):
        self._settings = settings
        self._components = components
        self._links = {}

    async def choose(self, admitted, tried_hosts):
        """Choose an owner with usable servers of the service.

        While none is known, waits for ``OWNER_WAIT_MS`` or a quarter of the
        time left until the deadline, whichever is shorter.

        :param admitted: the :class:`AdmittedRequest`.
        :param tried_hosts: names of hosts that failed to serve it.
        :return: the :class:`Candidate`, or None.
        """
        timeout_ms = min(OWNER_WAIT_MS, admitted.left_ms() / 4)
        until_ms = steady_ms() + timeout_ms
        while True:
            candidates = self._candidates(admitted, tried_hosts)
            chosen = self._components.router.choose(
                candidates, self._settings.host.region
            )
            if chosen is not None or steady_ms() >= until_ms:
                return chosen
            await sleep(OWNER_POLL_S)

    def _candidates(self, admitted, tried_hosts):
        view = self._components.views.replicated_state
        service = admitted.request.service
        candidates = []
        for record in self._components.gossip.fresh(steady_ms()):
            host = view.host(record.summary.host)
            if host is None or host.name in tried_hosts:
                continue
            for load in record.summary.loads:
                if load.service != service or load.slots == 0:
                    continue
                queued = sum(load.queued[: admitted.rank + 1])
                candidates.append(
                    Candidate(
                        host.name,
                        host.region,
                        host.peer_address,
                        load.slots,
                        load.in_flight,
                        queued,
                        record.sent,
                    )
                )
        return candidates

    async def forward(self, chosen, admitted, tried_servers):
        """Make one attempt through an owner.

        :param chosen: the :class:`Candidate`.
        :param admitted: the :class:`AdmittedRequest`.
        :param tried_servers: names of backend servers that failed to serve
            it.
        :return: the :class:`ForwardReply`.
        """
        request = self._forward_request(admitted, tried_servers)
        return await self._forward(chosen, request)

    def _forward_request(self, admitted, tried_servers):
        request = admitted.request
        now_ms = wall_ms()
        broken = self._components.quarantine.broken_servers(
            admitted.digest, now_ms
        )
        terms = admitted.contract.terms(admitted.rank)
        return ForwardRequest(
            uuid4().hex,
            admitted.contract.customer,
            request.service,
            request.method,
            request.path,
            request.headers,
            request.body,
            admitted.rank,
            terms.floor_percent,
            max(1, int(admitted.left_ms())),
            tuple({*tried_servers, *broken}),
            bool(broken),
        )

    async def _forward(self, chosen, request):
        if chosen.host == self._settings.host.name:
            return await self._components.dispatcher.submit(request)
        if not self._may_send(chosen, request):
            return make_refused_reply(ErrorKind.OVERLOADED, 'the link is full')
        self._components.gossip.record_sent(chosen.host)
        timeout_s = request.deadline_ms / 1000 + FORWARD_MARGIN_S
        try:
            reply = await self._components.adapter.call(
                chosen.address, Method.FORWARD, request, timeout_s
            )
        except FuchsiacartError as error:
            kind = ErrorKind.OUTCOME_UNKNOWN
            if error.run is Run.NO:
                kind = ErrorKind.NO_BACKEND
            return ForwardReply(refusal=Refusal(kind, error.detail, error.run))
        if chosen.region in self._links:
            self._links[chosen.region].charge(len(reply.body))
        return reply

    def _may_send(self, chosen, request):
        if chosen.region == self._settings.host.region:
            return True
        now_ms = steady_ms()
        if chosen.region not in self._links:
            rate = self._settings.entry.link_bytes_per_s
            self._links[chosen.region] = LinkBudget(rate, now_ms)
        link = self._links[chosen.region]
        return link.may_send(request.rank, len(request.body), now_ms)


def make_refused_reply(kind, detail):
    """Return the reply to an attempt that was certainly not made."""
    return ForwardReply(refusal=Refusal(kind, detail, Run.NO))
