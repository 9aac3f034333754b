#!/usr/bin/env bash
# Late orders of a killed node bring a head back into its old group, which its new orders ignore.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/release/review ] || exit 2
exec target/review/release/review two review/2
