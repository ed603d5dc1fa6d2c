#!/usr/bin/env bash
# Compiles the stand-ins and cases of the review, and the project's stand-ins that they use.
# Run after the build of the deploy file; needs no network.
set -eu
cd "$(dirname "$0")/.."
java_home=$(bin/find-jdk)
out=target/review
rm -rf "$out"
mkdir -p "$out"
"$java_home/bin/javac" -d "$out" -cp 'target/cell/lib/*' \
  platform/src/test/java/org/cicadaford/adapter/standin/HttpStandin.java \
  platform/src/test/java/org/cicadaford/adapter/standin/StoreStandin.java \
  review/platform/*.java
