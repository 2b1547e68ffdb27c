#!/usr/bin/env bash
# Builds what the scripts start besides the build of deploy/system.toml: the stand-ins are Python programs
# that use the standard library alone, so they are only compiled to check them.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/standins.py [0-9]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
