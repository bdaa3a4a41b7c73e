#!/usr/bin/env bash
# Builds the gate of an earlier commit, from this repository's history alone,
# and prints its path. Prints nothing if there is no such history, as in a
# shallow clone. Usage: soak/old_gate.sh BUILD COMMIT
set -euo pipefail
build=$1 commit=$2
cd "$(dirname "$0")/.."
folder=$(realpath -m "$build")/old-gates/$commit
gate=$folder/build/lavenderspool-gate
export GIT_NO_LAZY_FETCH=1
git cat-file -e "$commit^{tree}" 2>/dev/null || exit 0
mkdir -p "$folder/source"
exec 9>"$folder/lock"
flock 9
if [ ! -x "$gate" ]; then
    git archive "$commit" | tar -x -C "$folder/source"
    cmake -S "$folder/source" -B "$folder/build" -DLS_TESTS=OFF >/dev/null
    cmake --build "$folder/build" -j "${SOAK_JOBS:-3}" \
        --target lavenderspool-gate >"$folder/build.log" 2>&1 || {
        cat "$folder/build.log" >&2
        exit 1
    }
fi
echo "$gate"
