#!/bin/sh
# Builds the stand-ins of the third review. The programs under review are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/standin-3/main.rs -o target/review-3/rig.new && mv target/review-3/rig.new target/review-3/rig
