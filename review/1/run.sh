#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -d review/build ] || { echo "run review/build.sh first" >&2; exit 2; }
java -Xmx256m -cp review/build:target/sprucelanding.jar review.SpoiltUsage "$here" &
pid=$!
trap 'kill "$pid" 2>/dev/null; wait "$pid"; exit 2' INT TERM HUP
wait "$pid"
case $? in
    0) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
