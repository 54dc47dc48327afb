#!/bin/sh
# The stand-ins are Python programs of the standard library: there is nothing to build but their byte code.
cd "$(dirname "$0")" || exit 1
exec ../.venv/bin/python -m py_compile standins.py ./[0-9]/case.py
