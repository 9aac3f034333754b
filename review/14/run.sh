#!/bin/sh
# A later route leads to model servers that end the lines of events with CRLF. TROUBLE=0: with LF.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
program="$root/target/review-3/release/review-standins-3"
[ -x "$program" ] && [ -x "$root/target/release/shallottide-entry" ] || exit 2
exec "$program" lines "$root" "$here" "${TROUBLE:-1}"
