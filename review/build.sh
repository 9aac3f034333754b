#!/usr/bin/env bash
# Builds the stand-ins and clients of the review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
    --manifest-path review/standins/Cargo.toml --target-dir target/review
