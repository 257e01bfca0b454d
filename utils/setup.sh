#!/usr/bin/env bash
# Installs the packages of utils/packages.txt that are missing, with apt.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
missing=()
while read -r name; do
  state=$(dpkg-query -W -f='${Status}' "$name" 2>/dev/null || true)
  [ "$state" = "install ok installed" ] || missing+=("$name")
done <"$here/packages.txt"
if [ ${#missing[@]} -gt 0 ]; then
  echo "installing: ${missing[*]}"
  sudo=""
  [ "$(id -u)" -eq 0 ] || sudo=sudo
  $sudo apt-get update -qq
  DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq \
    --no-install-recommends "${missing[@]}" >/dev/null
fi
