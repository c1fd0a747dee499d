#!/bin/sh
# Plays this case: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
. ../common/python.sh
exec "$PYTHON" play.py
