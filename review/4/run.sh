#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# Two deployments side by side: one with a job that ends, one with a job that
# lasts.
here=$(cd "$(dirname "$0")" && pwd)
python3 "$here/job.py" &
job=$!
python3 "$here/lasting.py" &
lasting=$!
trap 'kill "$job" "$lasting" 2>/dev/null' TERM INT
wait "$job"
first=$?
wait "$lasting"
second=$?
for part in job lasting; do
  echo "== $part.py"
  cat "$here/record-$part.txt"
done >"$here/record.txt"
rm -f "$here/record-job.txt" "$here/record-lasting.txt"
[ "$first" -eq 1 ] || [ "$second" -eq 1 ] && exit 1
[ "$first" -eq 0 ] && [ "$second" -eq 0 ] && exit 0
exit 2
