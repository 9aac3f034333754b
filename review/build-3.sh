#!/bin/sh
# Builds what the scripts of the third review start beside the deploy file's program, without a network.
set -e
cd "$(dirname "$0")/standins-3"
cargo build --release --offline --locked --target-dir ../../target/review-3
