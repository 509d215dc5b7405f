#!/bin/sh
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
node review/standins-2/build.mjs
