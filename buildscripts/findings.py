#!/usr/bin/env python3
"""Lists the findings of entries in the journal: days that broke a rule, had a
fault or missed a floor ("SHORT").

Usage: findings.py [--head COMMIT] ENTRY...
Only entries of the commit, if one is given. Exits with 1 if there are any.
"""
import argparse
import json
import sys


def findings_of(day):
    """Returns what is wrong with a played day, as texts."""
    found = [f"{rule} {count}" for rule, count in (day.get("rules") or {}).items()]
    if day.get("fault"):
        found.append(f"fault: {day['fault']}")
    found += [f"SHORT: {text}" for text in day.get("short") or []]
    return found


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--head", default="")
    parser.add_argument("entries", nargs="+")
    options = parser.parse_args()
    days = 0
    bad_days = 0
    for path in options.entries:
        with open(path, encoding="utf-8") as file:
            entry = json.load(file)
        if not entry.get("head", "").startswith(options.head):
            continue
        for day in entry.get("days") or []:
            days += 1
            found = findings_of(day)
            if not found:
                continue
            bad_days += 1
            print(f"{entry['id']} {entry['cmd']} {entry['site']} {day.get('name')}: "
                  + "; ".join(found))
    print(f"{days} days, {bad_days} with findings")
    return 1 if bad_days else 0


if __name__ == "__main__":
    sys.exit(main())
