#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are scripts of Python 3.8 or later and its standard library: nothing to
# compile. Checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lab2.py [6-9]/case.py 10/case.py; do
  if [ -e "$file" ]; then
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
  fi
done
