#!/usr/bin/env bash
# Checks what the scripts need: the stand-ins are Python files of review/, and need no more than its standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import sys
assert sys.version_info >= (3, 8), "Python 3.8 or newer is needed"
CHECK
for file in lib/harness.py [1-5]/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
