#!/bin/sh
# Builds the stand-ins that the scripts start: compiles them. They need nothing but the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 -c 'import aiohttp' || exit 1
exec python3 -m py_compile review/standins.py review/worker.py review/*/case.py
