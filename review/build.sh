#!/usr/bin/env bash
# The stand-ins are Python (3.9 or newer) with its standard library alone: nothing is compiled, they are checked.
set -eu
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in common/fleet.py [0-9]*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
