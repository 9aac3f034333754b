#!/usr/bin/env bash
# Builds the stand-ins, clients and checks of the second review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
