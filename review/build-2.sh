#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are Python without
# dependencies, so that compiling them is all; the programs under test come from the build of the
# deploy file.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q 6 7 8 9 10
