#!/bin/sh
# Builds the stand-ins that the scripts of the review start. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml \
    --target-dir target/review
