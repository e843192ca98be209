#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE=${TROUBLE:-1} PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 timeout 115 python3 review/4/case.py
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
esac
exit 2
