#!/bin/sh
# Builds the program that plays the stand-ins of all cases. It needs the Rust toolchain only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2024 -o target/review/rig review/rig/main.rs
