#!/bin/bash
# The stand-ins of the cases need no build: they are the project's own in Python
# (platform/tests) and review/lib. Checks that they can be loaded.
set -e
cd "$(dirname "$0")"
python3 -B -c 'import sys; sys.path.insert(0, "lib"); import harness'
