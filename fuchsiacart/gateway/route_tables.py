"""Matches requests to routes and splits routes between services."""

from collections import defaultdict

from fuchsiacart.accounts import AccountTable


class RouteTable:
    """The routes of a configuration, indexed by host name and path prefix.

    :param configuration: the :class:`Configuration`.
    """

    def __init__(self, configuration):
        self.version = configuration.version
        self.limits = configuration.limits
        self.accounts = AccountTable(configuration.accounts)
        self._terms = {terms.name: terms for terms in configuration.services}
        self._routes = defaultdict(dict)
        for route in configuration.routes:
            prefixes = self._routes[route.host_name.lower()]
            prefixes.setdefault(route.path_prefix, route)

    def find(self, host_name, path):
        """Return the route with the longest matching prefix, or None.

        :param host_name: host name of the request; a port is ignored.
        :param path: path without the query.
        """
        prefixes = self._routes.get(host_name.partition(':')[0].lower())
        if prefixes is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end) + 1
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end -= 1
        return None

    def service_terms(self, service):
        """Return the :class:`ServiceTerms` of a service, or None."""
        return self._terms.get(service)


class TargetSplitter:
    """Splits the requests of a route between its services by weight.

    Uses smooth weighted round robin: over any run of requests, each target
    gets its share to within one request.
    """

    def __init__(self):
        self._credits = {}

    def choose(self, route):
        """Return the service for the next request of a route.

        :param route: the :class:`PathRoute`.
        """
        if len(route.targets) == 1:
            return route.targets[0].service
        credits = self._credits.get(route.name)
        services = [target.service for target in route.targets]
        if credits is None or list(credits) != services:
            credits = dict.fromkeys(services, 0.0)
            self._credits[route.name] = credits
        total = 0.0
        for target in route.targets:
            credits[target.service] += target.weight
            total += target.weight
        chosen = max(credits, key=credits.get)
        credits[chosen] -= total
        return chosen
