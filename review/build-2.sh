#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They need nothing but the
# standard library of the Python that it has installed.
set -eu
cd "$(dirname "$0")/.."
[ -x .venv/bin/python ] || { echo "review/build-2.sh: run the build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -m compileall -q --invalidation-mode checked-hash review/common-2 review/6 review/7 review/8 \
    review/9 review/10
