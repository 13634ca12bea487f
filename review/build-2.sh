#!/bin/sh
# Builds the stand-ins that the scripts of review/7 to review/10 start. They are
# Python programs of review/standins-2 and need no build: this checks that
# python3 has what they use.
set -e
cd "$(dirname "$0")"
python3 - standins-2/*.py 7/case.py 8/case.py 9/case.py 10/case.py <<'PY'
import ast
import sys
if sys.version_info < (3, 9):
    sys.exit("python3 is older than 3.9")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PY
