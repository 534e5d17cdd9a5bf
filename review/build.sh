#!/bin/sh
# Checks that what the cases start can be started. The stand-ins need the standard library only, and run with
# the Python that the build of deploy/balancer.toml has left in .venv.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "no .venv: run the build of deploy/balancer.toml first"; exit 2; }
exec .venv/bin/python -m compileall -q review
