#!/usr/bin/env bash
# The stand-ins are Python without further libraries: checks that they compile.
set -eu
cd "$(dirname "$0")"
for source in harness/*.py [0-9]*/*.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
python3 -B -c 'import harness.fleet'
