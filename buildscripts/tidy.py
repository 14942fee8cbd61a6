#!/usr/bin/env python3
"""Runs clang-tidy in parallel on those of the given sources that have changed.

Usage: tidy.py BUILD_FOLDER SOURCE...
A clean source is skipped until its content, any header of the project or .clang-tidy
changes. Exits with 1 if clang-tidy reports something.
"""
import concurrent.futures
import hashlib
import os
import pathlib
import subprocess
import sys

CONFIG = pathlib.Path(".clang-tidy")
# Some data-flow checks may never finish on a function. The slowest file takes a
# twentieth of this time on an idle machine.
FILE_TIMEOUT_SECONDS = 300


def digest_of_project_headers():
    digest = hashlib.sha256(CONFIG.read_bytes())
    for folder in ("src", "platform", "standin", "measure"):
        for header in sorted(pathlib.Path(folder).rglob("*.h")):
            digest.update(header.read_bytes())
    return digest.hexdigest()


def check(build, source):
    command = ["clang-tidy-16", "--quiet", "-p", str(build), source]
    try:
        return subprocess.run(command, capture_output=True, text=True, check=False,
                              timeout=FILE_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        return subprocess.CompletedProcess(
            command, 1, f"not checked within {FILE_TIMEOUT_SECONDS} s", "")


def main():
    build, sources = pathlib.Path(sys.argv[1]), sys.argv[2:]
    stamps = build / "tidy"
    stamps.mkdir(exist_ok=True)
    headers = digest_of_project_headers()

    def stamp(source):
        content = pathlib.Path(source).read_bytes()
        return stamps / hashlib.sha256(headers.encode() + content).hexdigest()

    pending = [source for source in sources if not stamp(source).exists()]
    jobs = int(os.environ.get("CAROBMAST_JOBS", os.cpu_count()))
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        results = pool.map(lambda source: check(build, source), pending)
        for source, result in zip(pending, results):
            if result.returncode == 0:
                stamp(source).touch()
                continue
            failed += 1
            print(f"{source}:\n{result.stdout}{result.stderr}")
    if failed:
        print(f"lint: {failed} of {len(sources)} files with findings")
        return 1
    print(f"lint: clean ({len(sources)} files)")
    return 0


sys.exit(main())
