#!/usr/bin/env bash
# Builds the stand-ins and checks of all script cases. To be run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
node review/build.mjs
