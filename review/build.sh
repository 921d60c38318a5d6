#!/bin/sh
# Builds the stand-ins that the scripts start, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q cedarthread review
