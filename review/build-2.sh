#!/bin/sh
# Build the stand-ins that the scripts of this review start, under target/.
# They need Python and what deploy/build.sh has put under target/deps.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
cp review/standins-2/*.py "$out/"
python3 -m compileall -q "$out"
