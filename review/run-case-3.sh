#!/usr/bin/env bash
# Runs a case of the third review: run-case-3.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case could not run.
set -u
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
jdk=$(bin/find-jdk) || exit 2
[ -d target/review-3 ] && [ -d target/cell/lib ] || exit 2
unset JAVA_TOOL_OPTIONS
timeout --kill-after=2 115 "$jdk/bin/java" -Xmx512m -cp 'target/review-3:target/cell/lib/*' \
  "review3.$2" . "$folder"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
