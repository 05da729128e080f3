#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, in build-review/.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B build-review >/dev/null
cmake --build build-review -j "$(nproc)" --target fakestore >/dev/null
for name in server proxy; do
	cc -std=gnu11 -O2 -Wall -Wextra -pthread -o "build-review/bin/$name" \
		"review/standins/$name.c"
done
