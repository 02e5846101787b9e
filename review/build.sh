#!/bin/sh
# Compiles the stand-ins and the cases: they are Python and need no packages.
cd "$(dirname "$0")" && exec python3 -m compileall -q .
