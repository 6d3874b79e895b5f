"""The daemon: reads its configuration, wires the parts together and runs until SIGTERM."""

from __future__ import annotations

import gc
import logging
import math
import os
import signal
import sys
from datetime import UTC, datetime
from typing import TYPE_CHECKING

import msgspec
from tornado.gen import sleep
from tornado.ioloop import IOLoop
from tornado.locks import Event

from spanwing import interface as api
from spanwing.config import MANAGEMENT_CALLS, OWN_SOCKETS, Config, load, read_settings
from spanwing.core.clock import Clock
from spanwing.core.exchange import Exchange
from spanwing.core.figures import figures
from spanwing.faults import ConfigError
from spanwing.fronts.faktory import FaktoryFront
from spanwing.fronts.platform import PlatformFront
from spanwing.fronts.senderside import HttpServer
from spanwing.hops.faktoryworker import FaktoryWorkers
from spanwing.hops.load import LoadReader
from spanwing.hops.nexthop import HttpNextHop
from spanwing.hops.pool import ConnectionPool, Descriptors
from spanwing.hops.transportmap import Pace, TransportMap
from spanwing.log import tell
from spanwing.log.events import LOG
from spanwing.settings import Permissions, Rules
from spanwing.store.acceptor import Acceptor
from spanwing.store.claims import Claims
from spanwing.store.disk import Disk, DiskError
from spanwing.store.peer import Peer, PeerListener
from spanwing.store.shared import shared_settings
from spanwing.store.store import Store
from spanwing.wire import meter
from spanwing.wire.address import Address, inherited
from spanwing.wire.buffers import BufferPool

if TYPE_CHECKING:
    from spanwing.fronts.balancers.side import BalancerSide
    from spanwing.handover.handover import Handover
    from spanwing.journal.keeper import Keeper
    from spanwing.policy.side import PolicySide
    from spanwing.zones.side import ZoneSide

HOUR_MS, DAY_MS = 3_600_000.0, 86_400_000.0
LAST_ARRIVALS_S = 0.5  # new connections still come this long after SIGTERM
# SIGKILL comes no sooner than this after SIGTERM, or the longest deadline where that is shorter, and KILL_MS.
LONGEST_MS, KILL_MS = 3000.0, 700.0
MARGIN_MS = 400.0
MOST_TOLD = 500  # attempts that a crash left, told one by one at a start
LEAST_SHARE = 8  # connections of either side while two processes share the limits
LAST_SETTLING = 100  # looks, 10 ms apart, at whether the last outcomes are in the store


class Daemon:
    """All parts of one scheduler."""

    def __init__(self, config: Config, loop_meter: meter.MeteredSelector | None = None) -> None:
        self.config, self.stopping, self.meter = config, False, loop_meter
        self.balancers: BalancerSide | None = None
        self.last = math.inf  # of the loop's time: when the latest answer is due
        self.started = Event()
        self.buffers = BufferPool()
        self.faktory: FaktoryFront | None = None
        self.server: HttpServer | None = None
        self.handover: Handover | None = None
        self.keeper: Keeper | None = None
        self.zones: ZoneSide | None = None
        self.policy: PolicySide | None = None
        self.listener: PeerListener | None = None
        self.open_management()
        table = config.store
        acceptor = Acceptor(Disk(table.directory) if table.directory else None)
        peers = [Peer(address, self.buffers) for address in config.store_peers.values()]
        self.store = Store(
            table.member, acceptor, peers, config.seed, table.answer_ms, tuple(config.store_peers)
        )
        if config.store_listen:
            self.listener = _listening(
                "store.listen",
                config.store_listen,
                lambda address: PeerListener(address, acceptor, self.buffers),
            )
            self.say("store", self.listener.address)

    async def start(self) -> None:
        """Take the shared settings, then open the fronts."""
        config, buffers = self.config, self.buffers
        if config.policy is not None:
            raw = await self.learn_policy()
        else:
            raw = await shared_settings(self.store, config.revision, config.raw_settings)
        options, settings = read_settings(raw, config.options)
        loads = LoadReader(settings.report_fields)
        allow = options.permissions or Permissions()
        self.core = Exchange(settings, config.seed, Clock())
        self.open_journal()
        self.join_zones()
        if self.policy is not None:
            self.policy.bind(self.core)

        # What is wrong with it must be said before the process in service hears of us.
        shared = None if config.shared is None else _listening("ROUTER_FD", config.shared, inherited)
        handover = None
        if shared is not None:
            from spanwing.handover.handover import Handover, Parts
            from spanwing.handover.link import Place

            name = str(Address(*shared.getsockname()[:2]))
            handover = self.handover = Handover(Place(os.environ.get("TMPDIR") or "/tmp", name), self.deal)
            await handover.join()

        shares = config.shares()
        self.descriptors = Descriptors(shares.hops)

        def make_hop(name, address, retired):
            pool = ConnectionPool(
                address, buffers, self.descriptors, allow.conn_idle_ms, allow.connect_timeout_ms
            )
            return HttpNextHop(name, pool, loads, retired)

        transport = self.transport = TransportMap(
            config.known,
            config.discovery,
            self.core,
            buffers,
            make_hop,
            Pace.of(settings.drain_grace, not settings.subscribe, (options.rules or Rules()).ask_every_ms),
        )
        self.core.directory = transport
        if not settings.subscribe:  # the module asks for nothing then; what discovery has counts all the same
            transport.watch()
        platform = PlatformFront(
            settings.classes, loads, transport.post, self.counters, self.taking, self.left_ms
        )
        if handover is not None:
            await handover.take_over(Parts(self.core, transport, self.descriptors))
        self.server = _listening(
            "ROUTER_LISTEN",
            config.listen,
            lambda address: HttpServer(
                address,
                platform,
                self.core,
                buffers,
                shares.clients,
                settings.max_retry_after,
                config.proxied.of("clients"),
                shared,
            ),
        )
        if config.faktory:
            workers = FaktoryWorkers(self.core, settings.zone)
            self.faktory = _listening(
                "faktory.listen",
                config.faktory,
                lambda address: FaktoryFront(
                    address,
                    settings.classes,
                    self.core,
                    workers,
                    Claims(self.store),
                    buffers,
                    shares.faktory,
                    self.counters,
                    config.proxied.of("faktory"),
                    self.keeper.earlier if self.keeper else lambda jid: "",
                ),
            )
            self.say("faktory", self.faktory.address)
        if self.policy is not None:
            self.policy.began.append(self.serve_classes)
        self.tell_balancers(config)
        if handover is not None:
            _listening("TMPDIR", handover.place.folder, lambda _: handover.serve(self.server))
            self.deal()
        self.say("clients", self.server.address)
        self.started.set()
        gc.freeze()  # what is loaded now stays: collections need not look at it again

    def serve_classes(self, settings: api.Settings) -> None:
        """Another policy: the fronts take jobs of its classes."""
        for front in (self.server.front, self.faktory):
            if front is not None:
                front.classes = {each.name: each for each in settings.classes}

    def open_management(self) -> None:
        """Before all else, so that whoever asks hears no until clients are taken. Raises ConfigError."""
        address = self.config.management
        if address is not None:
            from spanwing.fronts.management import ManagementFront

            front = ManagementFront(self.taking, lambda: figures(self.core) if self.started.is_set() else {})
            server = _listening(
                "management",
                address,
                lambda address: HttpServer(
                    address, front, None, self.buffers, MANAGEMENT_CALLS, once=True, half_s=0.0
                ),
            )
            self.say("management", server.address)

    def taking(self) -> bool:
        """Whether this process takes clients."""
        return self.started.is_set() and not self.stopping

    def open_journal(self) -> None:
        """Close what an earlier life left, tell of it, and write down from now on. Raises ConfigError."""
        table = self.config.journal
        if table is None:
            return
        from spanwing.journal.files import Folder
        from spanwing.journal.keeper import Keeper
        from spanwing.journal.log import Bounds, Log

        loop = IOLoop.current()
        bounds = Bounds(
            int(table.segment_mb * 1e6),
            table.segment_hours * HOUR_MS,
            table.keep_days * DAY_MS,
            int(table.keep_gb * 1e9),
            {cls: days * DAY_MS for cls, days in table.keep_days_of.items()},
        )
        try:
            begun = Log(Folder(table.directory), bounds)
            self.keeper = Keeper(
                begun,
                table.when_failing,
                self.config.name,
                loop.add_callback,
                table.wait_ms / 1000.0,
                loop.call_later,
                loop.remove_timeout,
            )
        except (OSError, ValueError) as error:
            fault = getattr(error, "strerror", None) or str(error)
            raise ConfigError(f"journal.directory: {table.directory}: {fault}") from None
        self.core.recorder = self.keeper
        for file, skipped in begun.skipped[:MOST_TOLD]:
            tell(
                "journal_skipped",
                level="warning",
                bounded=False,
                file=file,
                at=skipped.at,
                bytes=skipped.size,
                reason=skipped.reason,
            )
        left = self.keeper.left_open
        tell(
            "journal",
            level="warning" if left else "info",
            directory=table.directory,
            possibly_sent=len({request.id for request, _ in left}),
        )
        for request, attempt in left[:MOST_TOLD]:
            taken = request.taken
            tell(
                "possibly_sent",
                level="warning",
                bounded=False,
                request=request.id,
                finding=attempt.finding,
                attempt=attempt.number,
                worker=attempt.worker,
                address=attempt.address,
                intent=as_time(attempt.intent_ms),
                last_byte=as_time(attempt.last_byte_ms),
                cls=taken.cls if taken else "",
                tenant=taken.tenant if taken else "",
            )
        if len(left) > MOST_TOLD:
            tell(
                "possibly_sent_more",
                level="warning",
                left_out=len(left) - MOST_TOLD,
                hint="spanwing journal list",
            )

    async def learn_policy(self) -> str:
        """The policy in force in the fleet, once we may take jobs under it. Raises ConfigError."""
        from spanwing.policy.kept import KeptError
        from spanwing.policy.side import PolicySide
        from spanwing.policy.sound import without_own

        config = self.config
        try:
            name = config.name or config.store.member
            side = self.policy = PolicySide(name, config.policy, config.settings, self.buffers, config.seed)
        except KeptError as error:
            raise ConfigError(f"policy.directory: {error}") from None
        if self.listener is not None and config.store.member in config.policy.members:
            side.serve(self.store, self.listener, without_own(config.raw_settings))
        side.start()
        return await side.begin()

    def join_zones(self) -> None:
        """Follow the fleet's zones, and keep them as a member of the store; where the operator's file says
        so."""
        config = self.config
        if config.zones is None:
            return
        from spanwing.zones.side import ZoneSide

        self.zones = ZoneSide(
            config.name or config.store.member,
            config.zones,
            self.core,
            self.buffers,
            config.seed,
            self.policy,
        )
        if self.listener is not None and config.store.member in config.zones.members:
            self.zones.serve(self.store, self.listener)
        self.zones.start()

    def tell_balancers(self, config: Config) -> None:
        """Open what the operator's file names. Where that is nothing, nothing of it is loaded either."""
        wanted = config.balancers
        if self.balancers is None and wanted.listeners():
            from spanwing.fronts.balancers.side import BalancerSide, Bounds, Parts

            parts = Parts(
                config.name or config.store.member,
                self.core,
                self.server,
                self.faktory,
                self.store,
                self.descriptors,
                self.buffers,
                self.counters,
                config.proxied.of("health"),
                config.journal.directory if config.journal else "",
                self.zones,
                self.policy,
            )

            def bounds() -> Bounds:
                limits = self.config.limits
                return Bounds(limits.cores, limits.memory_mb, limits.sockets, OWN_SOCKETS)

            self.balancers = BalancerSide(parts, bounds, wanted, self.meter)
        if self.balancers is not None:
            for name, address in self.balancers.listeners.move(wanted):
                self.say(name, address)

    def say(self, front: str, address: Address | str) -> None:
        print(f"spanwing: {front} on {address}", flush=True)

    async def reload(self) -> None:
        """Read the files anew. A bad one changes nothing: the old configuration goes on serving."""
        await self.started.wait()
        try:
            config = load(before=self.config)
        except ConfigError as error:
            print(f"spanwing: not reloaded: {error}", file=sys.stderr, flush=True)
            return
        try:
            self.tell_balancers(config)
        except ConfigError as error:
            print(f"spanwing: not reloaded: {error}", file=sys.stderr, flush=True)
            return
        old, self.config = self.config, config
        if config.discovery != old.discovery:
            self.transport.move(config.discovery)
        self.deal()
        for name in config.fixed(old):
            print(f"spanwing: {name} has changed: it takes a restart", file=sys.stderr, flush=True)
        print(f"spanwing: reloaded, discovery on {config.discovery}", flush=True)

    def deal(self) -> None:
        """The shares of connections anew: limits or the other process of this scheduler have changed."""
        if self.server is None:
            return
        handover, table = self.handover, self.server.table
        two = handover is not None and handover.two()
        shares = self.config.shares(1 + two)
        if self.faktory is not None:
            self.faktory.table.most = shares.faktory
        if two and handover.after is not None:  # our successor's connections come out of ours, one by one
            table.trim(shares.clients - LEAST_SHARE)
            self.descriptors.limit(max(LEAST_SHARE, shares.hops // 2))
            return
        away = handover.away if two else None
        table.most = max(LEAST_SHARE, shares.clients - away.clients) if away else shares.clients
        self.descriptors.limit(max(LEAST_SHARE, shares.hops - away.hops) if away else shares.hops)
        self.server.share(two)

    def counters(self) -> dict[str, int]:
        if not self.started.is_set():
            return {}
        kept = (
            {}
            if self.keeper is None
            else {f"journal.{name}": value for name, value in self.keeper.figures().items()}
        )
        told = {name: value for name, value in figures(self.core).items() if value}
        return dict(sorted({**self.core.counters, **kept, **told}.items()))

    def print_counters(self) -> None:
        print("counters", msgspec.json.encode(self.counters()).decode(), flush=True)

    def left_ms(self) -> float:
        """How long a request that comes now may take."""
        left = self.last - IOLoop.current().time()
        if self.balancers is not None:
            left = min(left, self.balancers.reporter.left_s())
        return left * 1000.0

    def answers_s(self) -> float:
        """How long after SIGTERM an answer is surely still in time."""
        longest = max(each.deadline for each in self.core.settings.classes)
        return (min(longest, LONGEST_MS) + KILL_MS - MARGIN_MS) / 1000.0

    async def settled(self) -> None:
        """Until nobody is owed an answer, also for what has not been read yet."""
        while self.server.owes() or not self.core.idle():
            await self.core.until_quiet()
            await sleep(0.01)

    async def stop(self) -> None:
        """Keep accepting for a while, answer all that was taken, then leave."""
        if self.stopping:
            return
        self.stopping = True
        if not self.started.is_set():  # nothing was taken yet, and a store without a majority may not end
            IOLoop.current().stop()
            return
        begun, notice_s = IOLoop.current().time(), LAST_ARRIVALS_S
        if self.handover is not None and self.handover.handed:
            self.last = begun + self.answers_s()
            if await self.handover.leave():  # new connections come to the successor
                begun, notice_s = IOLoop.current().time(), 0.0
        if self.balancers is not None:
            # Balancers have to hear of it before connections are turned away; what an earlier order has told
            # them counts.
            self.balancers.reporter.drain("signal")
            notice_s = max(notice_s, self.balancers.reporter.health.drains.closes - begun)
        await sleep(notice_s)
        # What comes from here on and is not answered by SIGKILL would be lost: it gets its answer before.
        self.last = min(self.last, begun + notice_s - LAST_ARRIVALS_S + self.answers_s())
        self.server.drain()
        if self.faktory is not None:
            self.faktory.draining = True
        await self.settled()
        self.server.leave_off()
        await self.settled()
        if self.faktory is not None:
            for _ in range(LAST_SETTLING):
                if not self.faktory.claims.settling:
                    break
                await sleep(0.01)
        if self.keeper is not None and not self.keeper.close():
            tell("journal", level="error", reason="not all that was to be written down is on disk")
        if self.balancers is not None:
            self.balancers.listeners.close()
        if self.handover is not None:
            self.handover.close()
        IOLoop.current().stop()


def as_time(wall_ms: float | None) -> str:
    """The wall clock's time, in ISO 8601; empty where none is known."""
    if wall_ms is None:
        return ""
    return datetime.fromtimestamp(wall_ms / 1000.0, UTC).isoformat(timespec="milliseconds")


def _listening(setting: str, address: Address | int | str, make):
    try:
        return make(address)
    except OSError as error:
        raise ConfigError(f"{setting}: cannot listen on {address}: {error.strerror}") from None


def run() -> None:
    config = load()
    loop_meter = meter.install() if config.balancers.listeners() else None
    loop = IOLoop.current()
    if config.log.form != "plain":
        LOG.open(config.log.form, config.log.per_second, {"name": config.name})
    daemon = Daemon(config, loop_meter)
    # The default of these ends the program; one that comes early is kept until the program serves.
    signal.signal(signal.SIGHUP, lambda *_: loop.add_callback_from_signal(daemon.reload))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: loop.add_callback_from_signal(daemon.stop))
    signal.signal(signal.SIGUSR1, lambda *_: loop.add_callback_from_signal(daemon.print_counters))
    wrong: list[ConfigError] = []

    async def start() -> None:
        try:
            await daemon.start()
        except ConfigError as error:
            wrong.append(error)
            loop.stop()

    loop.add_callback(start)
    loop.start()
    LOG.close()
    if wrong:
        raise wrong[0]
    daemon.print_counters()


def serve() -> int:
    """The daemon, until SIGTERM; returns the exit status."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(message)s")
    try:
        run()
    except (ConfigError, DiskError) as error:
        setting = "store.directory: " if isinstance(error, DiskError) else ""
        print(f"spanwing: {setting}{error}", file=sys.stderr)
        return 2
    return 0
