#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python programs of this folder, on Python's own library alone. There is
# nothing to link; each file is compiled once, so that a fault in one shows here. The call controller is built by the
# command of the deploy file.
set -e
cd "$(dirname "$0")"
python3 - common-2/*.py [6-9]/*.py 10/*.py <<'PYTHON'
import os, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in filter(os.path.exists, sys.argv[1:]):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print("compiled", path)
PYTHON
