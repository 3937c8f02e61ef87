#!/bin/sh
# Builds the stand-ins of the second review. It needs no network after the build of the deploy file:
# the one library that they use is one of the project's own.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2
