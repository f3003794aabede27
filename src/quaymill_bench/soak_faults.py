"""The faults of the soak: drawn from a seed, in series that overlap, each healed after a time."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections.abc import Callable
from functools import partial
from typing import Any

import attrs
import msgspec

from quaymill_bench.fleet_processes import COLD_MOST_PER_S, FleetProcess, LocalFleet
from quaymill_bench.fleet_world import (
    ROUTES,
    WARM_UP_S,
    ZONES,
    configuration,
    many_routes,
    route,
)
from quaymill_bench.loopback_proxy import LinkState, LoopbackProxy
from quaymill_bench.soak_placement import LINK_DELAY_S, STORE, Disturbances, path_to, stopping
from quaymill_bench.soak_senders import (
    CRASH_PART,
    CRASH_SUFFIX,
    CRASHING_KINDS,
    FLOODERS,
    Sender,
    open_connections,
    send_crashing,
    send_crashing_parts,
    send_flood,
)
from quaymill_bench.soak_tenants import FLOOD, SoakTenants
from quaymill_bench.soak_timeline import Timeline
from quaymill_bench.soak_turnover import TurnoverFaults
from quaymill_standins.fleet_replica import ENDLESS_FORMS, ReplicaBehaviour
from quaymill_standins.fleet_store import FleetStoreFaults

CROWD = 12
"""Callers that open new connections at one gateway at the same time."""
LARGE_CHANGE_ROUTES = 1220
NEXT_CHANGE_S = 1.0
"""Maximum time between a small change of the configuration and the large one after it."""
FIRST_AFTER_S = 0.5
MOST_FOR_S = 5.0
LATE_ANSWER_S = 2.0
"""Longer than a call of the store waits for its answer."""
INTERPRETER_START_S = 0.5
"""Until then a process may run no code of its own yet, and the signal ends any."""
WHOLE_AFTER_S = 4.0
"""Time after its start in which a storage node without a disk becomes whole again."""
LINK_STATES = (
    LinkState.DELAYED,
    LinkState.RESET,
    LinkState.SILENT,
    LinkState.ANSWERS_LATE,
    LinkState.ANSWERS_LOST,
)
EVENT_TIMES_S = (0.01, 0.2, 0.6)
"""Times of an event: an item of three of them is over at once, or outlasts other coordinators."""
SUSPENDED_S = (1.0, 6.0)
"""Suspensions: shorter and longer than a lease of a job."""
FOREIGN_KINDS = (
    "servers",
    "quaymill-nodes",
    "quaymill-job-listings",
    "quaymill-quota-ledgers",
    "quaymill-barred-requests",
)
FOREIGN_SPECS = (
    7,
    "text",
    [],
    {},
    {"service": 1},
    {"service": "engine", "address": "127.0.0.1:99999999", "zone": "zone-a", "slots": 1},
    {"service": "engine", "address": "127.0.0.1:9", "zone": "zone-a", "slots": 4, "state": "new"},
    {"crashed_at_ms": "x", "incarnations": [1]},
    {"peer": {"host": "nowhere", "port": -1}},
)
DELAY_BY_STATE_S = {LinkState.DELAYED: LINK_DELAY_S, LinkState.ANSWERS_LATE: LATE_ANSWER_S}
ENDLESS = "have a replica send without end"
ENDLESS_INTERVALS_S = (0.0, 0.1)
PAUSE_IN_BODY_S = 0.05
"""Time in which an answer without framing can be cut midway."""
EVACUATE = "evacuate a zone"
COLD_RETURN = "have a zone's replicas return cold"
PLACEMENT_ROUNDS = ((EVACUATE,), (COLD_RETURN,), (EVACUATE, COLD_RETURN), (EVACUATE, COLD_RETURN))
PLACEMENT_AT_S = {EVACUATE: (0.5, 2.5), COLD_RETURN: (0.5, 5.0)}
PLACEMENT_FOR_S = {EVACUATE: (7.5, 9.0), COLD_RETURN: (3.0, 4.0)}
"""Evacuations outlast the bound from which on they are checked, and a return leaves gateways time
to learn that the replicas are gone, and load for the time in which they are cold."""
FIRST_EVACUATION_S = (0.2, 1.5)
"""Time after which an evacuation is withdrawn and requested again, if it is."""
COLD_EXTRA_S = 0.05

Heal = Callable[[], None]


@attrs.frozen
class PlannedFault:
    """One fault: when it begins, in seconds of the round, and how long it lasts."""

    at_s: float
    for_s: float
    name: str


class SoakFaults:
    """Draws the faults of one round, and brings them about.

    Evacuations and cold returns, how replicas frame their answers, overload with large changes,
    answers without end and planned work are drawn by generators of their own, beside the others:
    those of a seed stay as they are, with their times and what they are done to.

    Attributes
    ----------
    disturbances
        Which gateways and paths the faults disturbed, and when.
    """

    def __init__(
        self, fleet: LocalFleet, tenants: SoakTenants, seed: str, timeline: Timeline
    ) -> None:
        self._fleet = fleet
        self._tenants = tenants
        self._seed = seed
        self._random = random.Random(seed)
        self._placement_random = random.Random(f"{seed}/placement")
        self._framing_random = random.Random(f"{seed}/framing")
        self._overload_random = random.Random(f"{seed}/overload")
        self._endless_random = random.Random(f"{seed}/endless")
        self.disturbances = Disturbances()
        self._timeline = timeline
        self._turnover_random = random.Random(f"{seed}/turnover-times")
        self.turnover = TurnoverFaults(
            fleet, seed, self.disturbances, self._note, self._sound_behaviour
        )
        self._storage_lock = threading.Lock()
        self._version = int(time.time())
        self._sound = ReplicaBehaviour(
            event_s=self._random.choice(EVENT_TIMES_S),
            crash_suffix=CRASH_SUFFIX,
            crash_part=CRASH_PART,
            cold_extra_s=COLD_EXTRA_S,
            cold_most_per_s=COLD_MOST_PER_S,
        )
        self._unframed_ids = frozenset(
            replica_id for replica_id in fleet.replicas if self._framing_random.random() < 0.5
        )
        for replica in fleet.replicas.values():
            replica.behaviour = self._sound_behaviour(replica.id)
        self._faults: dict[str, Callable[[], Heal | None]] = {
            "kill a gateway": self._kill_gateway,
            "stop a gateway": self._stop_gateway,
            "freeze a process": self._freeze,
            "tell a process to read its settings": self._hang_up,
            "kill a storage node": self._kill_storage,
            "take a storage node's disk": self._wipe_storage,
            "disturb the store": self._disturb_store,
            "disturb a path to the store": self._disturb_store_link,
            "disturb a path to a replica": self._disturb_replica_link,
            "disturb a path between two processes": self._disturb_peer_link,
            "silence open connections": self._silence_connections,
            "have a replica fail": self._fail_replica,
            "have a replica leave": self._drain_replica,
            "have a replica start again": self._start_replica_again,
            "send a request that crashes replicas": self._send_crashing,
            "leave entries of another writer": self._leave_foreign_entries,
            "suspend a process": self._suspend,
            "change the configuration": self._change_configuration,
            "have a tenant send far beyond its limit": self._flood,
        }
        if fleet.zones_lost_at_once:
            self._faults["cut a zone off"] = self._cut_zone
        self._placement_faults: dict[str, Callable[[], Heal | None]] = {
            EVACUATE: self._evacuate,
            COLD_RETURN: self._return_cold,
        }
        self._endless_faults: dict[str, Callable[[], Heal | None]] = {
            ENDLESS: self._send_without_end,
        }
        self._overload_faults: dict[str, Callable[[], Heal | None]] = {
            "send requests with a part that crashes replicas": self._send_crashing_parts,
            "open most new connections at one gateway": self._crowd_gateway,
            "make a large change after a small one": self._change_largely,
        }

    def plan(self, load_s: float) -> list[PlannedFault]:
        """Draw the faults of a round, by the time when they begin."""
        latest_s = load_s - 1.0
        planned = [
            PlannedFault(
                self._random.uniform(FIRST_AFTER_S, latest_s),
                self._random.uniform(0.3, MOST_FOR_S),
                self._random.choice(tuple(self._faults)),
            )
            for _ in range(self._random.choice((2, 3, 4, 5, 6)))
        ]
        if self._fleet.placement_limits:
            planned += self._plan_placement()
        planned += self._plan_overload(latest_s)
        planned += self._plan_endless(latest_s)
        planned += self._plan_turnover(latest_s)
        return sorted(planned, key=lambda one: one.at_s)

    def _plan_placement(self) -> list[PlannedFault]:
        chance = self._placement_random
        return [
            PlannedFault(
                chance.uniform(*PLACEMENT_AT_S[name]), chance.uniform(*PLACEMENT_FOR_S[name]), name
            )
            for name in chance.choice(PLACEMENT_ROUNDS)
        ]

    def _plan_overload(self, latest_s: float) -> list[PlannedFault]:
        chance = self._overload_random
        names = tuple(self._overload_faults)
        return [
            PlannedFault(
                chance.uniform(FIRST_AFTER_S, latest_s), chance.uniform(0.3, MOST_FOR_S), name
            )
            for name in chance.sample(names, chance.choice((0, 1, 2)))
        ]

    def _plan_endless(self, latest_s: float) -> list[PlannedFault]:
        chance = self._endless_random
        return [
            PlannedFault(
                chance.uniform(FIRST_AFTER_S, latest_s), chance.uniform(0.3, MOST_FOR_S), ENDLESS
            )
            for _ in range(chance.choice((0, 1, 2)))
        ]

    def _plan_turnover(self, latest_s: float) -> list[PlannedFault]:
        chance = self._turnover_random
        names = tuple(self.turnover.faults)
        return [
            PlannedFault(
                chance.uniform(FIRST_AFTER_S, latest_s), chance.uniform(0.3, MOST_FOR_S), name
            )
            for name in chance.sample(names, chance.choice((0, 1, 2)))
        ]

    def play(self, planned: list[PlannedFault], until_s: float) -> None:
        """Bring the faults about at their times, and heal what is left at the end."""
        began = time.monotonic()
        faults = (
            self._faults
            | self._placement_faults
            | self._overload_faults
            | self._endless_faults
            | self.turnover.faults
        )
        heals: list[tuple[float, str, Heal]] = []
        for fault in planned:
            heals = self._wait(began + fault.at_s, heals)
            heal = faults[fault.name]()
            if heal is not None:
                heals.append((time.monotonic() + fault.for_s, fault.name, heal))
        heals = self._wait(began + until_s, heals)
        self._heal(heals)

    def end_everything(self) -> None:
        """Kill all processes at the same moment, and start them again."""
        self._timeline.note("fault: every process is killed")
        end = self.disturbances.begin(*self._fleet.processes)
        for process in self._fleet.processes.values():
            process.send(signal.SIGKILL)
        for process in self._fleet.processes.values():
            process.kill()
            process.start()
        end()
        self._timeline.note("fault: every process is started again")

    def _wait(
        self, until: float, heals: list[tuple[float, str, Heal]]
    ) -> list[tuple[float, str, Heal]]:
        """Wait, and heal what has lasted its time meanwhile; return what is left to heal."""
        while time.monotonic() < until:
            due = [one for one in heals if one[0] <= time.monotonic()]
            heals = [one for one in heals if one not in due]
            self._heal(due)
            time.sleep(0.02)
        return heals

    def _heal(self, heals: list[tuple[float, str, Heal]]) -> None:
        for _, name, heal in heals:
            heal()
            self._timeline.note(f"healed: {name}")

    def _note(self, text: str) -> None:
        self._timeline.note(f"fault: {text}")

    # Processes.

    def _kill_gateway(self) -> Heal:
        process = self._random.choice(self._fleet.gateways)
        self._note(f"SIGKILL to {process.name}")
        end = self.disturbances.begin(process.name)
        process.kill()

        def heal() -> None:
            process.start()
            end()

        return heal

    def _stop_gateway(self) -> Heal:
        process = self._random.choice(self._fleet.gateways)
        self._note(f"SIGTERM to {process.name}")
        end_stop = self.disturbances.begin(stopping(process.name))
        process.send(signal.SIGTERM)

        def heal() -> None:
            process.wait_ended()
            end = self.disturbances.begin(process.name)
            process.start()
            end()
            end_stop()

        return heal

    def _freeze(self) -> Heal | None:
        process = self._random.choice(list(self._fleet.processes.values()))
        if not self._may_lose(process):
            return None
        self._note(f"SIGSTOP to {process.name}")
        end = self.disturbances.begin(process.name)
        process.send(signal.SIGSTOP)

        def heal() -> None:
            process.send(signal.SIGCONT)
            end()
            self._gives_back(process)

        return heal

    def _suspend(self) -> Heal | None:
        """Stop a process, with its boot clock moved on and its steady clock left behind."""
        process = self._random.choice(list(self._fleet.processes.values()))
        if not process.links_by_target or not self._may_lose(process):
            return None
        lead_s = self._random.uniform(*SUSPENDED_S)
        self._note(f"{process.name} is suspended for {lead_s:.1f} s")
        end = self.disturbances.begin(process.name)
        process.send(signal.SIGSTOP)
        process.move_boot_clock(lead_s)

        def heal() -> None:
            process.send(signal.SIGCONT)
            end()
            self._gives_back(process)

        return heal

    def _hang_up(self) -> None:
        process = self._random.choice(list(self._fleet.processes.values()))
        if process.age_s() < INTERPRETER_START_S:
            return
        self._note(f"SIGHUP to {process.name}")
        process.send(signal.SIGHUP)

    def _kill_storage(self) -> Heal | None:
        process = self._random.choice(self._fleet.storage_nodes)
        if not self._may_lose(process):
            return None
        self._note(f"SIGKILL to {process.name}")
        process.kill()

        def heal() -> None:
            process.start()
            self._gives_back(process)

        return heal

    def _wipe_storage(self) -> Heal | None:
        process = self._random.choice(self._fleet.storage_nodes)
        if not self._may_lose(process):
            return None
        self._note(f"{process.name} loses its disk")
        process.kill()
        self._fleet.wipe(process)

        def heal() -> None:
            process.start()
            self._gives_back(process)

        return heal

    def _may_lose(self, process: FleetProcess) -> bool:
        """Return whether a process may be lost now: of the storage nodes one at a time."""
        if process.role != "job-storage":
            return True
        return self._storage_lock.acquire(blocking=False)

    def _gives_back(self, process: FleetProcess) -> None:
        """Let the next storage node be lost once this one is whole again."""
        if process.role == "job-storage":
            self._release_storage_later()

    def _release_storage_later(self) -> None:
        threading.Timer(WHOLE_AFTER_S, self._storage_lock.release).start()

    # Links.

    def _disturb_store(self) -> Heal:
        name, value = self._random.choice(
            (
                ("down", True),
                ("silent", True),
                ("lose_writes", True),
                ("late_writes_s", LATE_ANSWER_S),
            )
        )
        self._note(f"the store: {name}")
        # Reads are disturbed by some of these only.
        end = self.disturbances.begin(*([STORE] if name in ("down", "silent") else []))
        self._fleet.store.faults = FleetStoreFaults(**{name: value})

        def heal() -> None:
            self._fleet.store.faults = FleetStoreFaults()
            end()

        return heal

    def _disturb_store_link(self) -> Heal:
        process = self._random.choice(self._fleet.gateways)
        return self._disturb_link(process.store_proxy, path_to(process.name, STORE))

    def _disturb_replica_link(self) -> Heal:
        replica_id, proxy = self._random.choice(list(self._fleet.replica_proxies.items()))
        return self._disturb_link(proxy, path_to("all", replica_id))

    def _disturb_peer_link(self) -> Heal | None:
        source = self._random.choice(list(self._fleet.processes.values()))
        if not source.links_by_target:
            return None
        target, proxy = self._random.choice(list(source.links_by_target.items()))
        return self._disturb_link(proxy, path_to(source.name, target))

    def _disturb_link(self, proxy: LoopbackProxy, path: str) -> Heal:
        state = self._random.choice(LINK_STATES)
        self._note(f"{path}: {state.name}")
        end = self.disturbances.begin(path)
        proxy.set_state(state, DELAY_BY_STATE_S.get(state, 0.0))

        def heal() -> None:
            _open_again(proxy)
            end()

        return heal

    def _cut_zone(self) -> Heal | None:
        """Silence all connections between the processes of a zone and those elsewhere.

        Datagrams pass: everybody is known as alive, as in the first moments of a cut. A disk that
        is lost meanwhile could not be filled again, so no storage node is lost.
        """
        if not self._storage_lock.acquire(blocking=False):
            return None
        zone = self._random.choice(ZONES)
        self._note(f"{zone} is cut off")
        proxies = {
            path_to(source.name, target): proxy
            for source in self._fleet.processes.values()
            for target, proxy in source.links_by_target.items()
            if (source.zone == zone) != (self._fleet.processes[target].zone == zone)
        }
        end = self.disturbances.begin(*proxies)
        for proxy in proxies.values():
            proxy.set_state(LinkState.SILENT)

        def heal() -> None:
            for proxy in proxies.values():
                _open_again(proxy)
            end()
            self._release_storage_later()

        return heal

    def _silence_connections(self) -> None:
        """Make open connections silent for good: of one process, or everywhere."""
        if self._random.random() < 0.5:
            self._note("all open connections go silent for good")
            proxies = self._proxies(list(self._fleet.processes.values()))
            for replica_id, proxy in self._fleet.replica_proxies.items():
                proxies[path_to("all", replica_id)] = proxy
        else:
            process = self._random.choice(list(self._fleet.processes.values()))
            self._note(f"the open connections of {process.name} go silent for good")
            proxies = self._proxies([process])
        end = self.disturbances.begin(*proxies)
        for proxy in proxies.values():
            proxy.silence_open()
        # New connections work.
        end()

    def _proxies(self, processes: list[FleetProcess]) -> dict[str, LoopbackProxy]:
        """Return the proxies of processes by the names of their paths."""
        links = {
            path_to(one.name, target): proxy
            for one in processes
            for target, proxy in one.links_by_target.items()
        }
        return links | {path_to(one.name, STORE): one.store_proxy for one in processes}

    # Replicas and the operator.

    def _fail_replica(self) -> Heal:
        replica = self._random.choice(list(self._fleet.replicas.values()))
        name, value = self._random.choice(
            (
                ("break_off", True),
                ("cut_at_event", 2),
                ("foreign_id", True),
                ("shed", True),
                ("stall_at_event", 2),
            )
        )
        resets = self._framing_random.random() < 0.5
        self._note(f"{replica.id}: {name}{', with resets' if resets else ''}")
        behaviour = self._sound_behaviour(replica.id)
        replica.behaviour = msgspec.structs.replace(behaviour, resets=resets, **{name: value})

        def heal() -> None:
            # It may have started again meanwhile.
            self._fleet.replicas[replica.id].behaviour = self._sound_behaviour(replica.id)

        return heal

    def _send_without_end(self) -> Heal:
        """Have a replica send answers whose bytes never end."""
        chance = self._endless_random
        replica = chance.choice(list(self._fleet.replicas.values()))
        form = chance.choice(tuple(ENDLESS_FORMS))
        interval_s = chance.choice(ENDLESS_INTERVALS_S)
        self._note(f"{replica.id}: {form} without end, every {interval_s} s")
        replica.behaviour = msgspec.structs.replace(
            self._sound_behaviour(replica.id), endless=form, endless_interval_s=interval_s
        )

        def heal() -> None:
            self._fleet.replicas[replica.id].behaviour = self._sound_behaviour(replica.id)

        return heal

    def _sound_behaviour(self, replica_id: str) -> ReplicaBehaviour:
        """Return how a replica behaves without a fault."""
        unframed = replica_id in self._unframed_ids
        return msgspec.structs.replace(
            self._sound, unframed=unframed, pause_in_body_s=PAUSE_IN_BODY_S
        )

    def _drain_replica(self) -> Heal:
        replica = self._random.choice(list(self._fleet.replicas.values()))
        self._note(f"{replica.id} leaves")
        self._fleet.list_replica(replica, "draining")
        return lambda: self._fleet.list_replica(self._fleet.replicas[replica.id], "ready")

    def _start_replica_again(self) -> None:
        """End a replica; the fleet starts it again under its id."""
        replica = self._random.choice(list(self._fleet.replicas.values()))
        self._note(f"{replica.id} crashes, and starts again under its id")
        replica.crash()

    def _send_crashing(self) -> Heal:
        """Have one request come again and again, at any gateway, that crashes its replica."""
        kind = self._random.choice(CRASHING_KINDS)
        name = f"{kind}-crash-{self._seed}-{self._random.randrange(1000)}"
        self._note(f"{name} crashes the replicas that run it")
        return self._send_until_healed([partial(send_crashing, kind, name)])

    def _send_crashing_parts(self) -> Heal:
        """Have requests come at any gateway that share a part that crashes their replicas."""
        name = f"part-crash-{self._seed}-{self._overload_random.randrange(1000)}"
        self._note(f"{name}: requests with a part that crashes replicas")
        return self._send_until_healed([partial(send_crashing_parts, name)])

    def _crowd_gateway(self) -> Heal:
        """Open many new connections at one gateway."""
        process = self._overload_random.choice(self._fleet.gateways)
        self._note(f"most new connections go to {process.name}")
        address = (process.address, process.callers_port)
        names = [f"crowd-{self._seed}-{number}" for number in range(CROWD)]
        return self._send_until_healed([partial(open_connections, address, name) for name in names])

    def _send_until_healed(self, senders: list[Sender]) -> Heal:
        """Run each sender in a thread of its own."""
        stopping = threading.Event()
        threads = [
            threading.Thread(target=send, args=(self._fleet, self._timeline, stopping), daemon=True)
            for send in senders
        ]
        for thread in threads:
            thread.start()

        def heal() -> None:
            stopping.set()
            for thread in threads:
                thread.join()

        return heal

    def _leave_foreign_entries(self) -> Heal:
        """Write objects that no process of ours writes, also over those of replicas."""
        names = [f"foreign-{index}" for index in range(len(FOREIGN_SPECS))]
        over = self._random.choice(list(self._fleet.replicas.values()))
        self._note(f"entries of another writer, also in place of that of {over.id}")
        for kind in FOREIGN_KINDS:
            for name, spec in zip(names, FOREIGN_SPECS, strict=True):
                self._fleet.store.put(kind, name, spec)
        self._fleet.store.put("servers", over.id, self._random.choice(FOREIGN_SPECS))

        def heal() -> None:
            for kind in FOREIGN_KINDS:
                for name in names:
                    self._fleet.store.remove(kind, name)
            self._fleet.list_replica(self._fleet.replicas[over.id], "ready")

        return heal

    def _change_largely(self) -> Heal:
        """Add a route, and then many more; remove them later."""
        self._put_configuration((*ROUTES, route("added", "/added/", "idempotent")), "a route more")
        time.sleep(self._overload_random.uniform(0.0, NEXT_CHANGE_S))
        self._put_configuration(ROUTES + many_routes(LARGE_CHANGE_ROUTES), "many routes more")
        return lambda: self._put_configuration(ROUTES, "the first routes")

    def _change_configuration(self) -> None:
        timeout_ms = self._random.choice((7000, 8000, 9000))
        routes = tuple(route | {"timeout_ms": timeout_ms} for route in ROUTES)
        self._put_configuration(routes, self._tenants.change(self._random))

    def _put_configuration(self, routes: tuple[dict[str, Any], ...], done: str) -> None:
        self._version += 1
        self._note(f"configuration {self._version}: {done}")
        table = self._tenants.table()
        cold_rates = self._fleet.placement_limits
        document = configuration(self._version, routes, table, cold_rates=cold_rates)
        self._fleet.store.put("config", "main", document)

    def _evacuate(self) -> Heal:
        """Request the evacuation of a zone, and now and then withdraw and request it again."""
        zone = self._placement_random.choice(ZONES)
        first_s = self._placement_random.uniform(*FIRST_EVACUATION_S)
        again = self._placement_random.random() < 0.3
        store = self._fleet.store
        self._note(f"{zone} is evacuated")
        store.put("evacuations", zone, {})

        def request_again() -> None:
            store.remove("evacuations", zone)
            store.put("evacuations", zone, {})
            self._note(f"the evacuation of {zone} is withdrawn and requested again")

        timer = threading.Timer(first_s, request_again)
        if again:
            timer.start()

        def heal() -> None:
            if again:
                timer.join()
            store.remove("evacuations", zone)

        return heal

    def _return_cold(self) -> Heal:
        """End all replicas of a zone, and have them return together, cold."""
        zone = self._placement_random.choice(ZONES)
        names = [one.id for one in self._fleet.replicas.values() if one.zone == zone]
        self._note(f"the replicas of {zone} stop: {', '.join(names)}")
        for name in names:
            self._fleet.hold_down(name)

        def heal() -> None:
            for name in names:
                self._fleet.return_cold(name, WARM_UP_S)

        return heal

    def _flood(self) -> Heal:
        """Have one tenant send many times what it may, at all gateways."""
        self._note(f"{FLOOD} sends far beyond its limit")
        names = [f"flood-{self._seed}-{self._random.randrange(1000)}-{n}" for n in range(FLOODERS)]
        return self._send_until_healed([partial(send_flood, name) for name in names])


def _open_again(proxy: LoopbackProxy) -> None:
    """Heal a link. What was held back is not let through late: the connections end."""
    proxy.set_state(LinkState.RESET)
    proxy.set_state(LinkState.OPEN)
