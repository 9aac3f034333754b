#!/usr/bin/env bash
# Revokes the last API key of the tenants and sends requests with it, with an invented key and without one.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/release/review ] || exit 2
exec target/review/release/review keys review/1
