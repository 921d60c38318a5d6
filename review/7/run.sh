#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
exec env PYTHONDONTWRITEBYTECODE=1 .venv/bin/python review/7/case.py
