#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/stand-ins-2/build. Needs the JDK and the
# result of the deploy file's build (target/sprucelanding.jar, for its JSON reader); no network.
set -e
cd "$(dirname "$0")/.."
if [ ! -f target/sprucelanding.jar ]; then
    echo "target/sprucelanding.jar is absent: run the build line of deploy/balancer.toml first" >&2
    exit 2
fi
rm -rf review/stand-ins-2/build
mkdir -p review/stand-ins-2/build
javac -encoding UTF-8 -cp target/sprucelanding.jar -d review/stand-ins-2/build \
    $(find review/stand-ins-2 -name '*.java')
