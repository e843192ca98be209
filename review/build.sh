#!/bin/sh
# The stand-ins need nothing but the standard library; this checks that they load.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 python3 -c "
from review.bed import fleet, record, store, web, worker
"
