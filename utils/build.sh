#!/usr/bin/env bash
# Configures and builds into the directory given (default: build).
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-$root/build}
shift || true
mkdir -p "$build"
cmake -S "$root" -B "$build" -G Ninja "$@" >"$build/configure.log" 2>&1 || {
  cat "$build/configure.log"
  exit 1
}
ninja -C "$build" --quiet
