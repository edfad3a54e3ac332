#!/bin/sh
# Builds the stand-ins that the scripts in review/6 to review/10 start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/rig review/rig-2/main.rs
