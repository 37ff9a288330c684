"""Puts the guard, its links and the peers together."""

from __future__ import annotations

from heronstall.config import Config
from heronstall.net.dispatcher import Dispatcher
from heronstall.net.loop import Loop
from heronstall.net.peers.service import Peers
from heronstall.net.takeover.coordinator import Guard
from heronstall.net.takeover.links import PATH, Links
from heronstall.operator import TakeoverFile


def begin(config: Config, told: TakeoverFile, loop: Loop, peers: Peers, dispatcher: Dispatcher) -> Guard:
    """Guard a dispatcher's jobs from now on."""
    guard = Guard(config, told, loop, config.name, peers.born)
    guard.begin(dispatcher)
    names = sorted({name for group in told.witnesses for name in group})
    links = Links(guard, loop, peers.swim, peers.host, (config.name, peers.born), names)
    links.asks = peers.ask
    peers.answered[PATH] = links.serve
    peers.lost = links.member_gone
    return guard
