#!/usr/bin/env bash
# Prepares the cases 6 to 10. Their stand-ins (review/stand-ins-2) are plain JavaScript for Node.js and use no library, so nothing is
# compiled; this checks that they and the deployed program can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/stand-ins-2/*.mjs; do node --check "$file"; done
for number in 6 7 8 9 10; do
  if [ -e "review/$number/run.mjs" ]; then node --check "review/$number/run.mjs"; fi
done
test -e target/hibiscusledge.mjs || { echo 'build the program first, with the command of deploy/system.toml' >&2; exit 1; }
