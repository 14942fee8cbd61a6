#!/usr/bin/env bash
# Checks the model $1 exhaustively with spin. $2 is the expected outcome,
# "holds" or "fails"; further arguments are macros that each remove a rule of
# the model. A search that reaches the depth limit is an error, whatever its
# outcome.
set -euo pipefail
model=$(realpath "$1")
expected=$2
shift 2

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
macros=("${@/#/-D}")
spin "${macros[@]}" -a "$model"
gcc -w -O2 -DSAFETY -DCOLLAPSE -o pan pan.c
./pan -m100000 -w22 >pan.log
grep -E 'errors:|states, stored' pan.log
if grep -q 'max search depth too small' pan.log; then
  echo "the search was not exhaustive"
  exit 1
fi
if grep -q 'errors: 0' pan.log; then
  outcome=holds
else
  outcome=fails
fi
echo "outcome: $outcome, expected: $expected"
[ "$outcome" = "$expected" ]
