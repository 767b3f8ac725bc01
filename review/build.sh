#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They need no crate and no network. The
# instances are the program that the build of the deploy file leaves.
set -euo pipefail
cd "$(dirname "$0")/platform"
cargo build --release --offline --locked
