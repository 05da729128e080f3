#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start: the fakes of the
# store and of the servers from platform/tests. The programs of the deploy file are built
# by its own build line.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target/review-3 -DCMAKE_BUILD_TYPE=RelWithDebInfo -DBUILD_TESTING=OFF
cmake --build target/review-3 -j "$(nproc)" --target fakestore fakeserver
