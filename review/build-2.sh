#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, in review/standins-2, into build-review-2/bin.
# They use the project's libraries. The programs under test come from the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p $out/bin
cmake -S . -B $out -DCMAKE_BUILD_TYPE=RelWithDebInfo >$out/cmake.log 2>&1 ||
	{ cat $out/cmake.log; exit 1; }
cmake --build $out -j "$(nproc)" --target loom_mesh >$out/build.log 2>&1 ||
	{ cat $out/build.log; exit 1; }
packages="talloc tevent libcurl libmicrohttpd jansson glib-2.0 log4c"
for name in store target caller; do
	# shellcheck disable=SC2046
	gcc -std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter -Iinclude -Iplatform \
		$(pkg-config --cflags $packages) review/standins-2/$name.c -o $out/bin/$name \
		$out/platform/libloom_mesh.a $out/src/http/libloom_http.a \
		$out/src/base/libloom_base.a $(pkg-config --libs $packages) \
		-lhttp_parser -lm -lpthread
done
