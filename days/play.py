"""Plays days of our own, one for each kind of trouble, and prints one line for each.

    python days/play.py --bench PROGRAM --site FILE... [--only TEXT] [--pairs N] [--seed N]

The bench's program and the site files are the users'; their paths are given, not known here.
A day is written to a file under ``target/days`` and played by the bench's verb ``run``.
"""

from __future__ import annotations

import argparse
import itertools
import random
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

Trouble = dict[str, object]

PLANNED = {
    "release",
    "scale_in",
    "scale_out",
    "roll_term",
    "add_nodes",
    "config_change",
    "config_storm",
    "retire",
    "hup",
}


def _t(kind: str, **fields: object) -> Trouble:
    return {"kind": kind, **fields}


KINDS: dict[str, tuple[Trouble, ...]] = {
    "burst": (_t("burst", x=2.5, for_s=4.0), _t("burst", x=4.0, for_s=2.0)),
    "shift": (_t("shift", share=0.7, for_s=6.0), _t("shift", share=1.0, for_s=4.0)),
    "srv-crash": (_t("srv_crash", share=0.3, for_s=4.0), _t("srv_crash", share=0.2, how="gone")),
    "srv-dark": (
        _t("srv_crash", share=0.3, for_s=5.0, how="dark"),
        _t("srv_crash", share=0.2, for_s=3.0, how="dark"),
    ),
    "release": (_t("release", share=1.0, x=2.0, gap_s=1.0), _t("release", share=0.5, gap_s=0.5)),
    "scale-in": (_t("scale_in", share=0.3), _t("scale_in", share=0.2, how="spot")),
    "reclaim": (_t("scale_in", how="reclaim", for_s=5.0),),
    "scale-out": (_t("scale_out", share=0.5, gap_s=2.0),),
    "answer-lost": (
        _t("answer_lost", share=1.0, x=0.08, for_s=5.0),
        _t("answer_lost", share=0.6, x=0.1, for_s=5.0, how="reset"),
    ),
    "garble": (
        _t("garble", share=1.0, x=0.06, for_s=5.0),
        _t("garble", share=0.6, x=0.06, for_s=5.0, how="extra"),
    ),
    "garble-late": (
        _t("garble", share=0.8, x=0.06, for_s=5.0, how="extra late"),
        _t("garble", share=0.8, x=0.06, for_s=5.0, how="unframed"),
    ),
    "garble-early": (_t("garble", share=0.8, x=0.08, for_s=5.0, how="early"),),
    "node-kill": (_t("node_kill", share=0.3), _t("node_kill", share=0.25, how="power", for_s=3.0)),
    "node-kill-leader": (
        _t("node_kill", on="core", count=1, how="leader race drain"),
        _t("node_kill", on="core", count=1, for_s=3.0, how="meet drain"),
    ),
    "node-freeze": (
        _t("node_freeze", share=0.3, for_s=3.0),
        _t("node_freeze", share=0.2, for_s=6.0),
    ),
    "node-slow": (
        _t("node_slow", share=0.3, x=5.0, for_s=5.0),
        _t("node_slow", share=0.2, x=10.0, for_s=4.0),
    ),
    "roll-term": (_t("roll_term", share=1.0, gap_s=1.0, how="busy"),),
    "roll-remove": (_t("roll_term", share=0.2, gap_s=2.0, how="remove"),),
    "add-nodes": (_t("add_nodes"), _t("add_nodes", on="store")),
    "herd-kill": (_t("herd_kill", share=0.6), _t("herd_kill", share=0.6, how="power")),
    "herd-core": (
        _t("herd_kill", on="core", how="off", for_s=1.5),
        _t("herd_kill", on="core", how="taken all"),
    ),
    "hup": (_t("hup", share=1.0, gap_s=2.0),),
    "reset-conns": (_t("reset_conns", share=0.5, x=0.7), _t("reset_conns", share=1.0, x=0.5)),
    "give-up": (_t("give_up", share=0.3, x=200, for_s=5.0), _t("give_up", share=0.3, for_s=5.0)),
    "srv-slow": (
        _t("srv_slow", share=0.3, x=4.0, for_s=5.0),
        _t("srv_slow", share=0.2, x=8.0, for_s=4.0),
    ),
    "grey-errors": (
        _t("srv_grey", share=0.25, x=0.5, for_s=5.0, how="errors"),
        _t("srv_grey", share=0.25, x=0.5, for_s=5.0, how="shed"),
    ),
    "grey-hang": (
        _t("srv_grey", share=0.25, x=0.5, for_s=5.0, how="hang"),
        _t("srv_grey", share=0.25, x=0.5, for_s=5.0, how="mute"),
    ),
    "grey-busy": (
        _t("srv_grey", share=0.25, x=0.5, for_s=5.0, how="busy"),
        _t("srv_grey", share=0.25, x=0.5, for_s=5.0, how="reset"),
    ),
    "grey-slow": (_t("srv_grey", share=0.25, x=0.5, for_s=5.0, how="slow"),),
    "srv-cut": (
        _t("srv_cut", share=0.2, for_s=5.0),
        _t("srv_cut", share=0.3, for_s=5.0, how="fronts"),
    ),
    "srv-cut-some": (
        _t("srv_cut", share=0.3, for_s=5.0, how="some"),
        _t("srv_cut", share=0.3, for_s=5.0, how="some lossy"),
    ),
    "reuse": (
        _t("replace_with_reuse", share=0.3),
        _t("replace_with_reuse", share=0.3, how="drain"),
    ),
    "reuse-dark": (_t("replace_with_reuse", share=0.3, how="dark"),),
    "clock": (
        _t("clock_step", share=0.5, x=2400.0, for_s=6.0, how="back"),
        _t("clock_step", share=0.5, x=4000.0, for_s=6.0, how="ahead"),
    ),
    "lossy": (_t("lossy", x=0.03, for_s=6.0), _t("lossy", x=0.08, for_s=4.0)),
    "disk-stall": (
        _t("disk_stall", count=1, for_s=4.0, on="store"),
        _t("disk_stall", count=1, for_s=6.0, on="store"),
    ),
    "node-cut": (
        _t("node_cut", share=0.2, for_s=5.0),
        _t("node_cut", share=0.2, for_s=5.0, how="all"),
    ),
    "node-cut-servers": (_t("node_cut", share=0.3, for_s=5.0, how="servers"),),
    "core-cut": (
        _t("core_cut", count=1, for_s=5.0),
        _t("core_cut", count=1, for_s=5.0, how="leader refuse"),
    ),
    "store-cut": (
        _t("core_cut", on="store", count=1, for_s=5.0),
        _t("core_cut", on="store", count=1, for_s=6.0, how="near"),
    ),
    "store-cut-split": (
        _t("core_cut", on="store", for_s=5.0, how="split"),
        _t("core_cut", on="store", count=1, for_s=5.0, how="one_way"),
    ),
    "store-cut-behind": (_t("core_cut", on="store", for_s=4.0, how="behind"),),
    "store-cut-seeds": (
        _t("core_cut", on="store", count=1, for_s=4.0, how="seeds"),
        _t("core_cut", on="store", count=1, for_s=4.0, how="both"),
    ),
    "store-cut-lure": (
        _t("core_cut", on="store", count=1, for_s=4.0, how="lure"),
        _t("core_cut", on="store", count=1, for_s=4.0, how="relieve"),
    ),
    "store-kill": (
        _t("node_kill", on="store", count=1, for_s=3.0),
        _t("node_kill", on="store", count=1, for_s=3.0, how="power"),
    ),
    "store-freeze": (
        _t("node_freeze", on="store", count=1, for_s=4.0),
        _t("node_slow", on="store", count=1, x=5.0, for_s=4.0),
    ),
    "store-ack-kill": (
        _t("after_ack_kill", on="store", count=1, for_s=2.0),
        _t("after_ack_kill", on="store", count=1, for_s=2.0, how="taken"),
    ),
    "store-ack-wipe": (
        _t("after_ack_wipe", on="store", count=1, for_s=2.0),
        _t("after_ack_wipe", on="store", count=1, for_s=2.0, how="oldest"),
    ),
    "front-ack": (
        _t("after_ack_kill", for_s=3.0),
        _t("after_ack_kill", how="taken gone", for_s=3.0),
    ),
    "store-replace": (
        _t("replace_core", on="store", count=1, x=1.0),
        _t("replace_core", on="store", count=1, x=2.0, how="planned"),
    ),
    "store-retire": (_t("retire", for_s=8.0), _t("after_ack_wipe", on="store", count=1, for_s=2.0)),
    "store-retire-wipe": (
        _t("add_nodes", on="store", count=1),
        _t("retire", for_s=8.0, how="wipe"),
    ),
    "platform-down": (
        _t("platform_down", for_s=5.0, how="silent lapse"),
        _t("platform_down", for_s=5.0, how="busy"),
    ),
    "platform-reset": (
        _t("platform_down", for_s=6.0, how="reset"),
        _t("platform_down", for_s=4.0, how="lapse busy"),
    ),
    "platform-nodes": (
        _t("platform_down", for_s=6.0, how="nodes busy", share=0.5),
        _t("platform_down", for_s=6.0, how="nodes", share=0.5),
    ),
    "platform-nodes-many": (
        _t("platform_down", for_s=6.0, how="nodes many leader", share=0.5),
        _t("platform_down", for_s=6.0, how="nodes reset", share=0.8),
    ),
    "platform-slow": (
        _t("platform_slow", x=60.0, for_s=5.0),
        _t("platform_slow", x=150.0, for_s=5.0),
    ),
    "platform-lost": (
        _t("platform_lost", x=0.5, for_s=5.0),
        _t("platform_lost", x=0.5, for_s=5.0, how="late"),
    ),
    "platform-compact": (
        _t("platform_compact", x=5.0, for_s=6.0, how="drain"),
        _t("platform_compact", x=5.0, for_s=6.0),
    ),
    "config": (
        _t("config_change", how="route"),
        _t("config_change", how="weights"),
        _t("config_change", how="timeout"),
    ),
    "config-storm": (
        _t("config_storm", for_s=5.0, gap_s=0.3),
        _t("config_storm", for_s=4.0, gap_s=0.5),
    ),
}

CLOSINGS = (
    "",
    '{ kind = "power_off_all", down_s = 1.2, how = "all taken" }',
    '{ kind = "wipe_after_ack", down_s = 1.0, how = "all oldest" }',
    '{ kind = "kill_all", down_s = 1.4 }',
    '{ kind = "wipe_after_ack", down_s = 1.2, how = "all taken" }',
    '{ kind = "power_off_all", down_s = 1.2, how = "timed" }',
)


def day_text(name: str, troubles: list[Trouble], seed: int, closing: str) -> str:
    """Return a day's file: the troubles spread over it, one after another."""
    chance = random.Random(f"{name}/{seed}")
    begin_s, end_s = 4.0, 28.0
    step_s = (end_s - begin_s) / max(1, len(troubles))
    planned, faults = [], []
    for index, trouble in enumerate(troubles):
        at = begin_s + index * step_s + chance.uniform(0.0, 0.5 * step_s)
        entry = {"at": round(at, 2), **trouble}
        (planned if trouble["kind"] in PLANNED else faults).append(entry)
    lines = ["[[day]]", f'name = "own-{name}"', 'slot = "trouble"', f"seed = {seed}"]
    if closing:
        lines.append(f"closing = {closing}")
    lines += [f"plan = [{_entries(planned)}]", f"faults = [{_entries(faults)}]"]
    return "\n".join(lines) + "\n"


def _entries(entries: list[Trouble]) -> str:
    return ", ".join(
        "{ " + ", ".join(f"{k} = {_value(v)}" for k, v in e.items()) + " }" for e in entries
    )


def _value(value: object) -> str:
    return f'"{value}"' if isinstance(value, str) else str(value)


def play(bench: str, site: str, name: str, text: str, why: str, keep: Path | None) -> str:
    """Play one day; return its line."""
    folder = Path("target/days")
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{Path(site).stem}-{name}.toml"
    path.write_text(text)
    command = [bench, "run", site, str(path.resolve()), "--why", why]
    if keep is not None:
        command += ["--log", "all"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    output = done.stdout + done.stderr
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        (keep / f"{Path(site).stem}-{name}.txt").write_text(output)
    found = re.search(rf"^own-{re.escape(name)} .*$", output, re.MULTILINE)
    line = found[0] if found else f"own-{name}: no result: {output.strip()[-200:]}"
    return f"{Path(site).stem:24} {line}"


def main() -> int:
    """Play the days asked for; exit with 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", nargs="+", required=True)
    parser.add_argument("--only", default="")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--pairs", type=int, default=0)
    parser.add_argument("--closings", action="store_true")
    parser.add_argument("--why", default="days of our own, one for each kind")
    parser.add_argument("--keep", type=Path)
    arguments = parser.parse_args()
    days = {name: list(troubles) for name, troubles in KINDS.items() if arguments.only in name}
    if arguments.pairs:
        chance = random.Random(arguments.seed)
        pairs = list(itertools.combinations(days, 2))
        chosen = chance.sample(pairs, min(arguments.pairs, len(pairs)))
        days = {f"{a}+{b}": days[a] + days[b] for a, b in chosen}
    broken = False
    with ThreadPoolExecutor(arguments.jobs) as pool:
        plays = []
        for index, (name, troubles) in enumerate(days.items()):
            closing = CLOSINGS[index % len(CLOSINGS)] if arguments.closings else ""
            text = day_text(name, troubles, arguments.seed, closing)
            for site in arguments.site:
                plays.append(
                    pool.submit(
                        play, arguments.bench, site, name, text, arguments.why, arguments.keep
                    )
                )
        for future in plays:
            line = future.result()
            broken = broken or "BROKEN" in line or "no result" in line
            print(line, flush=True)
    return int(broken)


if __name__ == "__main__":
    sys.exit(main())
