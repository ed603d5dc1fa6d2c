#!/usr/bin/env bash
# Builds the stand-ins and cases of review/6 and on. Needs the build of the deploy file, no network.
set -eu
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
jdk=$("$root/bin/find-jdk")
classes=$root/target/review-2
rm -rf "$classes"
mkdir -p "$classes"
"$jdk/bin/javac" -nowarn -d "$classes" -cp "$root/target/cell/lib/*" "$root"/review/standins-2/platform/*.java
