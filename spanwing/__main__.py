"""The daemon: reads its configuration, wires the parts together and runs until SIGTERM."""

from __future__ import annotations

import gc
import logging
import signal
import sys

import msgspec
from tornado.gen import sleep
from tornado.ioloop import IOLoop

from spanwing.config import Config, ConfigError, load
from spanwing.core.clock import Clock
from spanwing.core.exchange import Exchange
from spanwing.net.buffers import BufferPool
from spanwing.net.load import LoadReader
from spanwing.net.nexthop import HttpNextHop
from spanwing.net.platform import PlatformFront
from spanwing.net.pool import ConnectionPool
from spanwing.net.senderside import HttpServer
from spanwing.net.transportmap import TransportMap
from spanwing.settings import Permissions

LAST_ARRIVALS_S = 0.5  # new connections still come this long after SIGTERM


class Daemon:
    """All parts of one scheduler."""

    def __init__(self, config: Config) -> None:
        self.stopping = False
        buffers = BufferPool()
        loads = LoadReader(config.settings.report_fields)
        allow = config.options.permissions or Permissions()
        self.core = Exchange(config.settings, config.seed, Clock())

        def make_hop(address, retired):
            pool = ConnectionPool(address, buffers, allow.conn_idle_ms, allow.connect_timeout_ms)
            return HttpNextHop(pool, loads, retired)

        self.map = TransportMap(config.known, config.discovery, self.core, buffers, make_hop)
        self.core.directory = self.map
        front = PlatformFront(config.settings.classes, loads, self.map.post, self.counters,
                              lambda: not self.stopping)
        self.server = HttpServer(config.listen, front, self.core, buffers, most=config.sockets // 2)
        self.core.start()

    def counters(self) -> dict[str, int]:
        return dict(sorted(self.core.counters.items()))

    def print_counters(self) -> None:
        print("counters", msgspec.json.encode(self.counters()).decode(), flush=True)

    async def stop(self) -> None:
        """Keep accepting for a while, answer all that was taken, then leave."""
        if self.stopping:
            return
        self.stopping = True
        await sleep(LAST_ARRIVALS_S)
        self.server.drain()
        await self.core.until_quiet()
        while self.server.busy() or not self.core.idle():
            await sleep(0.01)
        IOLoop.current().stop()


def main() -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(message)s")
    try:
        config = load()
    except ConfigError as error:
        print(f"spanwing: {error}", file=sys.stderr)
        return 2
    loop = IOLoop.current()
    try:
        daemon = Daemon(config)
    except OSError as error:
        print(f"spanwing: ROUTER_LISTEN: cannot listen on {config.listen}: {error.strerror}", file=sys.stderr)
        return 2
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: loop.add_callback_from_signal(daemon.stop))
    signal.signal(signal.SIGUSR1, lambda *_: loop.add_callback_from_signal(daemon.print_counters))
    print(f"spanwing: listening on {daemon.server.address}", flush=True)
    gc.freeze()  # what is loaded now stays: collections need not look at it again
    loop.start()
    daemon.print_counters()
    return 0


if __name__ == "__main__":
    sys.exit(main())
