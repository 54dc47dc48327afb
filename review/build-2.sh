#!/bin/sh
# Run after the build of the deploy file, with the package mirrors at hand. The stand-ins are in review/standins_2.py
# and need no build of their own; cases 9 and 10 run the store, which needs requirements-store.txt as the README says.
set -eu
cd "$(dirname "$0")/.."
if ! .venv/bin/python -c "import click, google_crc32c, msgspec, tomlkit, zstandard" 2>/dev/null; then
    .venv/bin/python -m pip -q install -r requirements-store.txt || echo "cases 9 and 10 cannot run without the store" >&2
fi
PYTHONPATH="$PWD:$PWD/review" .venv/bin/python -c "import standins_2"
