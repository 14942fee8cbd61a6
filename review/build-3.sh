#!/bin/bash
# Checks what the scripts of review/11 to review/15 start besides the project's program,
# which the build of the deploy file makes. The stand-ins are Python scripts that use the
# standard library alone; they are compiled in memory, and nothing is written.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in platform/tests/platform_standin.py platform/tests/node_cluster.py platform/tests/machine_standin.py \
            review/lib-3/*.py review/1[1-5]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "stand-ins: ok"
