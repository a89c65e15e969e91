"""Fleets of processes in which each host reaches the servers by proxies."""

import pathlib

from pistachioseam_standins import deployment
from pistachioseam_standins import fleet
from tests.soak import proxies


class PartitionedFleet(fleet.Fleet):
    """Fleet in which each host reaches store and servers through proxies.

    `proxies` are those before the store, `paths` those before the servers, by
    number of the host.
    """

    def __init__(self, spec: fleet.FleetSpec, folder: pathlib.Path) -> None:
        super().__init__(spec, folder)
        self.proxies: list[proxies.Proxy] = []
        self.paths: list[proxies.Proxy] = []

    def get_store_address(self, number: int) -> str:
        """Return the address of a host's proxy, created at its first start."""
        while len(self.proxies) <= number:
            store = proxies.Proxy(self.platform.address).__enter__()
            self.proxies.append(store)
            servers = (*self.engines, *self.services)
            path = proxies.Proxy(*(s.address for s in servers)).__enter__()
            self.paths.append(path)
            deployment.call(
                'POST',
                self.platform.address,
                '/standin/views',
                {'store': store.address, 'addresses': path.addresses},
            )
        return self.proxies[number].address

    def __exit__(self, *_: object) -> None:
        """End the processes, then the proxies."""
        super().__exit__()
        for proxy in (*self.proxies, *self.paths):
            proxy.__exit__()
