#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They are plain modules without dependencies, so that
# nothing has to be compiled: each is checked, and the program that the deploy file builds has to be there.
set -eu
cd "$(dirname "$0")"
for module in stand-ins-2/*.mjs [0-9]*/case.mjs; do
  node --check "$module"
done
[ -f ../target/launch.cjs ] || { echo 'the build of the deploy file comes first' >&2; exit 1; }
echo 'stand-ins are ready'
