#!/bin/sh
# Plays case 8 and writes record.txt: exit code 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/target/arbutus-front" ] && [ -x "$root/target/review-8" ] || exit 2
REVIEW_CASE=$here REVIEW_ROOT=$root exec "$root/target/review-8"
