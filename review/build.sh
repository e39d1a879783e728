#!/usr/bin/env bash
# Compiles the stand-ins of the cases into review/target/classes. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac --release 17 -d target/classes standins/*.java
