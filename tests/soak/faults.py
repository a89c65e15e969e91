"""Faults that a soak brings about, registered by name."""

from collections import abc
import random
import signal
import time

import attrs

from pistachioseam_standins import deployment
from pistachioseam_standins import fleet
from tests.soak import proxies

FREEZE_SECONDS = 1.5
STORE_MODES = ('busy', 'silent', 'lose', 'forget', 'none', 'none')


class SoakFleet(fleet.Fleet):
    """Fleet whose hosts reach the store through proxies."""

    proxies: list[proxies.Proxy]

    def get_store_address(self, number: int) -> str:
        """Return the proxy of a host, made at its first start."""
        made = self.__dict__.setdefault('proxies', [])
        while len(made) <= number:
            made.append(proxies.Proxy(self.platform.address).__enter__())
        return made[number].address

    def __exit__(self, *_: object) -> None:
        """End the processes, then the proxies."""
        super().__exit__()
        for proxy in self.__dict__.get('proxies', []):
            proxy.__exit__()


@attrs.define
class World:
    """The fleet, and the randomness of one seed."""

    fleet: SoakFleet
    random: random.Random
    weights: int = 1


Fault = abc.Callable[[World], None]
REGISTRY: dict[str, Fault] = {}


def register(fault: Fault) -> Fault:
    """Register a fault under its function's name."""
    REGISTRY[fault.__name__] = fault
    return fault


@register
def kill_host(world: World) -> None:
    """SIGKILL a host and start it again."""
    number = world.random.randrange(len(world.fleet.entries))
    member = world.fleet.entries[number]
    world.fleet.kill(member)
    world.fleet.entries[number] = world.fleet.start_host(number, member)


@register
def restart_host(world: World) -> None:
    """SIGTERM a host, perhaps hurry it, and start it again."""
    number = world.random.randrange(len(world.fleet.entries))
    member = world.fleet.entries[number]
    member.process.terminate()
    if world.random.random() < 0.3:
        time.sleep(world.random.random())
        world.fleet.kill(member)
    else:
        member.process.wait(deployment.TIMEOUT_SECONDS)
    world.fleet.entries[number] = world.fleet.start_host(number, member)


@register
def freeze_host(world: World) -> None:
    """SIGSTOP a host for a while."""
    member = world.random.choice(world.fleet.entries)
    member.process.send_signal(signal.SIGSTOP)
    time.sleep(world.random.random() * FREEZE_SECONDS)
    member.process.send_signal(signal.SIGCONT)


@register
def reload_host(world: World) -> None:
    """SIGHUP a host."""
    world.random.choice(world.fleet.entries).process.send_signal(signal.SIGHUP)


@register
def kill_server(world: World) -> None:
    """SIGKILL a server and start it again at its address."""
    members = world.random.choice((world.fleet.engines, world.fleet.services))
    number = world.random.randrange(len(members))
    member = members[number]
    world.fleet.kill(member)
    time.sleep(world.random.random())
    is_engine = members is world.fleet.engines
    members[number] = world.fleet.start_server(
        member.name,
        fleet.ENGINE_SERVICE if is_engine else fleet.PLAIN_SERVICE,
        fleet.MODEL if is_engine else '',
        member.address,
    )


@register
def trouble_store(world: World) -> None:
    """Let the store refuse, fall silent, lose answers or forget."""
    world.fleet.set_store_fault(world.random.choice(STORE_MODES))


@register
def trouble_link(world: World) -> None:
    """Delay, silence or reset one host's way to the store."""
    proxy = world.random.choice(world.fleet.proxies)
    proxy.set_mode(world.random.choice(proxies.MODES))


@register
def change_state(world: World) -> None:
    """Write the next desired state."""
    world.fleet.write_desired_state()


@register
def name_weights(world: World) -> None:
    """Name newer weights."""
    world.weights += 1
    world.fleet.set_weights_version(world.weights)


def heal(world: World) -> None:
    """End all lasting faults."""
    world.fleet.set_store_fault('none')
    for proxy in world.fleet.proxies:
        proxy.set_mode('pass')
