#!/usr/bin/env bash
# Builds what the scripts of the cases start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
node review/build.mjs
