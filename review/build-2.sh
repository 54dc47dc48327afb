#!/bin/sh
# Run after the build of the deploy file, with the package mirrors at hand. The stand-ins are in review/standins_2.py
# and need no build of their own; cases 6 and 10 run the store, which needs requirements-store.txt as the README says.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m pip -q install -r requirements-store.txt
PYTHONPATH="$PWD:$PWD/review" .venv/bin/python -c "import standins_2, harepick.store.service, harepick.cli.main"
