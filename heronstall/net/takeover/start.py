"""Puts the guard, its links and the peers together."""

from __future__ import annotations

from heronstall.config import Config
from heronstall.net.dispatcher import Dispatcher
from heronstall.net.loop import Loop
from heronstall.net.peers.service import PeerService
from heronstall.net.takeover.coordinator import TakeoverCoordinator
from heronstall.net.takeover.links import PATH, WitnessLinks
from heronstall.operator import TakeoverFile


def begin(
    config: Config, told: TakeoverFile, loop: Loop, peers: PeerService, dispatcher: Dispatcher
) -> TakeoverCoordinator:
    """Guard a dispatcher's jobs from now on."""
    guard = TakeoverCoordinator(config, told, loop, config.name, peers.started_ms)
    guard.start(dispatcher)
    names = sorted({name for group in told.witnesses for name in group})
    links = WitnessLinks(guard, loop, peers.swim, peers.host, (config.name, peers.started_ms), names)
    links.on_link_lost = peers.probe_member
    peers.request_handlers[PATH] = links.serve
    peers.on_member_gone = links.member_gone
    return guard
