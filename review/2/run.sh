#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
program=review/platform/target/release/review_case
if [ ! -x "$program" ] || [ ! -x target/release/mustardway ]; then
    echo "could not run: build as the deploy file says, then review/build.sh"
    exit 2
fi
exec "$program" cold-again "$here"
