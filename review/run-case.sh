#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER CASE. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 2
java_home=$(bin/find-jdk) || exit 2
[ -d target/cell/lib ] || { echo "run the build of the deploy file first" >&2; exit 2; }
[ -d target/review ] || { echo "run review/build.sh first" >&2; exit 2; }
"$java_home/bin/java" -Xmx512m -cp "target/review:target/cell/lib/*" \
  org.cicadaford.adapter.standin.Main "$2" "$root" "review/$1/record.txt" &
case_pid=$!
trap 'kill "$case_pid" 2>/dev/null' TERM INT
wait "$case_pid"
case $? in
  0) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
