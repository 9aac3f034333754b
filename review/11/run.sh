#!/bin/sh
# Requests with a part that crashes servers, whose clients repeat them once. TROUBLE=0: no such requests.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
program="$root/target/review-3/release/review-standins-3"
[ -x "$program" ] && [ -x "$root/target/release/shallottide-entry" ] || exit 2
exec "$program" poison "$root" "$here" "${TROUBLE:-1}"
