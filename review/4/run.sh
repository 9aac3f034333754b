#!/usr/bin/env bash
# A server starts again by a clock that was set back, and later leaves; counts the requests it gets too late.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/release/review ] || exit 2
exec target/review/release/review clock review/4
