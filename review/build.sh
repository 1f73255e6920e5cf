#!/bin/sh
# Builds the stand-ins of the review's scripts: plain Python with the standard
# library, which only has to be compiled.  The scripts use no other stand-in.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
