#!/usr/bin/env python3
"""Prints the totals of a CTest run without failures of tests in KNOWN-RED.txt.

Usage: summary.py CTEST_JUNIT_FILE KNOWN_RED_FILE
Exits with 1 if a test failed that is not listed, or if no test passed.
"""
import pathlib
import sys
import xml.etree.ElementTree as ElementTree


def read_known_red(path):
    """Returns the names of the listed tests: lines of the form 'test: NAME'."""
    if not path.exists():
        return set()
    prefix = "test:"
    lines = path.read_text().splitlines()
    return {line[len(prefix):].strip() for line in lines if line.startswith(prefix)}


def main():
    known_red = read_known_red(pathlib.Path(sys.argv[2]))
    passed, failed = 0, []
    for case in ElementTree.parse(sys.argv[1]).getroot().iter("testcase"):
        if case.get("status") == "run":
            passed += 1
        else:
            failed.append(case.get("name"))
    for name in sorted(set(failed) & known_red):
        print(f"known red: {name}")
    unexpected = sorted(set(failed) - known_red)
    for name in unexpected:
        print(f"failed: {name}")
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or passed == 0 else 0


sys.exit(main())
