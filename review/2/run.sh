#!/bin/sh
# A route gets another service, then a front node is restarted as planned.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/.." || exit 2
exec python3 2/case.py
