"""Fleets of processes in which each host reaches the servers by proxies."""

import pathlib
import typing

from pistachioseam_standins import deployment
from pistachioseam_standins import fleet
from tests.soak import proxies


class ServerPaths:
    """Proxies of one host before the engines and before the plain servers."""

    def __init__(
        self,
        engines: list[deployment.ServerProcess],
        services: list[deployment.ServerProcess],
    ) -> None:
        self.engines = proxies.Proxy(*(s.address for s in engines))
        self.services = proxies.Proxy(*(s.address for s in services))

    @property
    def addresses(self) -> dict[str, str]:
        """Return the proxies' addresses by those of the servers."""
        return self.engines.addresses | self.services.addresses

    def __enter__(self) -> typing.Self:
        """Start the proxies."""
        for proxy in (self.engines, self.services):
            proxy.__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        """End the proxies."""
        for proxy in (self.engines, self.services):
            proxy.__exit__()

    def set_mode(self, mode: str) -> None:
        """Set the mode of both proxies."""
        for proxy in (self.engines, self.services):
            proxy.set_mode(mode)


class PartitionedFleet(fleet.Fleet):
    """Fleet in which each host reaches store and servers through proxies.

    `proxies` are those before the store, `paths` those before the servers, by
    number of the host.
    """

    def __init__(self, spec: fleet.FleetSpec, folder: pathlib.Path) -> None:
        super().__init__(spec, folder)
        self.proxies: list[proxies.Proxy] = []
        self.paths: list[ServerPaths] = []

    def get_store_address(self, number: int) -> str:
        """Return the address of a host's proxy, created at its first start."""
        while len(self.proxies) <= number:
            store = proxies.Proxy(self.platform.address).__enter__()
            self.proxies.append(store)
            path = ServerPaths(self.engines, self.services).__enter__()
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
