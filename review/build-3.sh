#!/usr/bin/env bash
# Builds the project's packages and its stand-ins, which the scripts of review/11 to review/15 start. It uses no network.
set -euo pipefail
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -b
