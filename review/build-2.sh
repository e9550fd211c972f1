#!/usr/bin/env bash
# Checks what the scripts in review/6 to review/10 need beside the build of the
# deploy file. Their stand-ins are in Python, which meson needs as well, and are
# not compiled.
set -eu
cd "$(dirname "$0")"
test -x ../target/cli/hornbeamtack
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import ast, sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)
' standin-2/*.py $(ls 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py 2>/dev/null)
