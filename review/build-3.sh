#!/usr/bin/env bash
# Checks the stand-ins of cases 11 to 15. They are Python scripts without dependencies, so there is nothing to compile.
set -eu
cd "$(dirname "$0")"
for file in standins-3/*.py 1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
