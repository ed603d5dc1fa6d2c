#!/usr/bin/env bash
# Compiles the stand-ins of the third review under target/review-3, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
readonly OUT=target/review-3
rm -rf "$OUT"
mkdir -p "$OUT"
"$(bin/find-jdk)/bin/javac" -d "$OUT" -cp 'target/cell/lib/*' \
  platform/src/test/java/org/cicadaford/adapter/standin/HttpStandin.java \
  platform/src/test/java/org/cicadaford/adapter/standin/StoreStandin.java \
  review/standins-3/platform/review3/*.java
