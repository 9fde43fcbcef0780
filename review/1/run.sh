#!/usr/bin/env bash
# Plays this case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the
# disruption. It needs the build of the deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) && cd "$here/../.." || exit 2
[ -x review/bin/rig ] && [ -x bin/damsontrestle ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec review/bin/rig flood "$here"
