"""Creates and connects the takeover coordinator, its links and the peer service."""

from __future__ import annotations

from heronstall.config import Config
from heronstall.net.dispatcher import Dispatcher
from heronstall.net.loop import Loop
from heronstall.net.peers.service import PeerService
from heronstall.net.takeover.coordinator import TakeoverCoordinator
from heronstall.net.takeover.links import PATH, WitnessLinks
from heronstall.operator import TakeoverSettings


def start_takeover(
    config: Config, settings: TakeoverSettings, loop: Loop, peers: PeerService, dispatcher: Dispatcher
) -> TakeoverCoordinator:
    """Protects a dispatcher's jobs from now on."""
    coordinator = TakeoverCoordinator(config, settings, loop, config.name, peers.started_ms)
    coordinator.start(dispatcher)
    names = sorted({name for group in settings.witnesses for name in group})
    links = WitnessLinks(coordinator, loop, peers.swim, peers.host, (config.name, peers.started_ms), names)
    links.on_link_lost = peers.probe_member
    peers.request_handlers[PATH] = links.serve
    peers.on_member_gone = links.handle_member_gone
    return coordinator
