# Sets PYTHON to a Python 3 interpreter; ends with 2 if there is none.
PYTHON=
for candidate in python3 /usr/bin/python3; do
    if "$candidate" -B -c 'import sys; sys.exit(sys.version_info < (3, 8))' >/dev/null 2>&1; then
        PYTHON=$candidate
        break
    fi
done
if [ -z "$PYTHON" ]; then
    echo "no Python 3 interpreter" >&2
    exit 2
fi
export PYTHONDONTWRITEBYTECODE=1
