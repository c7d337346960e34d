#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
stand=../stand-2/target/release/stand-2
[ -x "$stand" ] && [ -x ../../target/release/vetchbridge ] || { echo "build first: deploy file, build-2.sh"; exit 2; }
"$stand" slow ../.. 10
case $? in 0) exit 0 ;; 1) exit 1 ;; *) exit 2 ;; esac
