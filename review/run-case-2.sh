#!/usr/bin/env bash
# Runs a case: run-case-2.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
jdk=$("$root/bin/find-jdk") || exit 2
[ -d "$root/target/review-2" ] || "$root/review/build-2.sh" || exit 2
timeout -k 5 120 "$jdk/bin/java" -Xmx512m -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.maxIdleConnections=2000 \
  -Djdk.httpclient.allowRestrictedHeaders=host -cp "$root/target/review-2:$root/target/cell/lib/*" "review.$1" "$root" "$2"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
