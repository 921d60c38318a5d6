#!/bin/sh
# Prepares the stand-ins of the second review (cases 6 to 10). They are Python and use the environment that the
# deploy file's build has made; nothing is installed.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review/standins2 cedarthread
