#!/bin/sh
# Build the stand-ins that the scripts start: they are Python modules of this folder.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q lib [1-5]
