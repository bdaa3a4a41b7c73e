#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/build/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
packages="glib-2.0 jansson libxxhash libevent_core libevent_extra"
read -ra flags <<<"$(pkg-config --cflags $packages)"
read -ra libs <<<"$(pkg-config --libs $packages)"
for source in review/[1-5]/case.c; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    cc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Wshadow -Isrc \
        "${flags[@]}" -o "review/build/case$number" "$source" review/rig.c \
        src/io/server.c src/io/server_response.c src/io/headers.c \
        src/io/loop.c src/clock.c src/errors.c src/log.c "${libs[@]}" \
        -lhttp_parser -lm
done
