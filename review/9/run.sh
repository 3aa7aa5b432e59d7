#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0
# leaves out the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
cd "$root" || exit 2
[ -x target/snipetally ] && [ -x review/bin/standin2-fleet ] || exit 2
exec timeout --preserve-status -k 4 115 review/bin/standin2-fleet poison "$root/target/snipetally" "$here/record.txt"
