#!/usr/bin/env bash
# Builds the stand-ins of the scripts review/4 to review/8. They are Python without further packages, so this only checks
# that they can be compiled. The scripts start the program of deploy/system.toml, which its own build makes.
set -euo pipefail
cd "$(dirname "$0")"
for file in rig-2/*.py [4-8]/*.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
