#!/bin/sh
# Puts what the two packet programs import under target/deps: two libraries
# and our own packages, compiled, so that a start costs little.
set -eu
deps=target/deps
stamp=target/.libraries
if [ ! "$stamp" -nt constraints.txt ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check \
        --target "$deps" -c constraints.txt xxhash prometheus_client
    touch "$stamp"
fi
for package in packages/*/src/keelgap* platform/src/keelgap_platform; do
    case "$package" in
    *standins | *egg-info) continue ;;
    esac
    rm -rf "$deps/$(basename "$package")"
    cp -R "$package" "$deps/"
done
python3 -m compileall -q "$deps"
