#!/usr/bin/env python3
"""Writes the replay-*.csv traces (format: README.md). Deterministic by seed."""

import pathlib
import random

SEED = 7
FOLDER = pathlib.Path(__file__).resolve().parent
LENGTH_MS = 12_000

# Shares of operations: (share, path, method, median ms, spread, body bytes).
ZAGREB = {
    "name": "replay-zagreb",
    "title": "month-end uploads: a tenfold crest from second 4 to 8",
    "base": 4,
    "crest": 40,
    "crest_ms": (4_000, 8_000),
    "operations": [
        (70, "POST", "checks", 12, 2.0, 300),
        (18, "GET", "bordereaux", 6, 1.5, 0),
        (6, "POST", "billing", 15, 1.5, 120),
        (6, "POST", "uploads", 150, 3.0, 8_000),
    ],
    "straggler_every": 45,
    "straggler_ms": 2_500,
    "others": [
        (500, "submit", "reconciliation"),
        (2_000, "submit", "extract"),
        (4_500, "fault", "target_late:150ms"),
        (6_500, "fault", "clear"),
        (7_000, "submit", "extract"),
    ],
    "demand": {"answered_percent": 100, "jobs_finished": 3},
}
MONTEVIDEO = {
    "name": "replay-montevideo",
    "title": "afternoon reel pull: long pulls for 5 s beside previews, and a wave of noisy renders",
    "base": 5,
    "crest": 24,
    "crest_ms": (3_000, 8_000),
    "operations": [
        (60, "GET", "previews", 25, 2.0, 0),
        (10, "POST", "bookings", 20, 1.5, 200),
        (15, "GET", "catalogue", 8, 1.5, 0),
        (15, "GET", "reels", 350, 2.0, 0),
    ],
    "straggler_every": 30,
    "straggler_ms": 3_000,
    "others": [
        (0, "submit", "reconciliation"),
        (2_500, "submit", "extract"),
        (2_600, "submit", "extract"),
        (2_700, "submit", "extract"),
        (5_000, "fault", "worker_lost_answers:2"),
        (6_000, "submit", "extract"),
    ],
    "demand": {"answered_percent": 100, "jobs_finished": 5},
}


def draw_requests(trace, draw):
    """Poisson arrivals; lengths are spread around the median by a factor."""
    at_ms, number = 0.0, 0
    shares = [operation[0] for operation in trace["operations"]]
    while True:
        begin, end = trace["crest_ms"]
        rate = trace["crest"] if begin <= at_ms < end else trace["base"]
        at_ms += draw.expovariate(rate) * 1000
        if at_ms >= LENGTH_MS:
            return
        number += 1
        _, method, path, median, spread, size = draw.choices(trace["operations"], shares)[0]
        run_ms = max(1, round(median * spread ** draw.uniform(-1, 1)))
        if number % trace["straggler_every"] == 0:
            run_ms = trace["straggler_ms"]
        yield round(at_ms), "request", f"{method} {path}", run_ms, size


def write(trace):
    draw = random.Random(SEED)
    rows = list(draw_requests(trace, draw))
    rows += [(at_ms, kind, what, "", "") for at_ms, kind, what in trace["others"]]
    rows.sort(key=lambda row: row[0])
    lines = [f"# {trace['title']}; seed {SEED}", "at_ms,kind,what,run_ms,body_bytes"]
    lines += [",".join(str(field) for field in row) for row in rows]
    lines += [f"{LENGTH_MS},demand,{name},{value}," for name, value in trace["demand"].items()]
    (FOLDER / f"{trace['name']}.csv").write_text("\n".join(lines) + "\n")


for each in (ZAGREB, MONTEVIDEO):
    write(each)
