#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs that use the standard library only, so this checks that
# the interpreter is there and accepts them. The cases start no other program than the one of the deploy file.
set -eu
cd "$(dirname "$0")"
. ./common/python.sh
"$PYTHON" -B -c 'import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)' common/*.py [0-9]/*.py
echo "stand-ins: ready"
