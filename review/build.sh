#!/usr/bin/env bash
# The stand-ins are plain JavaScript modules without dependencies: nothing is compiled, each is only checked for syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [0-9]*/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
