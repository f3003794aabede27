#!/bin/sh
# Builds the stand-ins of the cases from 4 on: they are Python and need the standard library only, so
# they are just compiled, which shows that they can be read. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=target/review-2 python3 -m compileall -q review/rig-2 review/4 review/5
