#!/usr/bin/env bash
# Scores deployments one after the other and prints the worth of each day beside the one
# recorded last: scripts/score.sh BENCH WHY SITE...
# BENCH is the bench's program, WHY the line for the journal, SITE a site file. The outputs
# stay in out/score; run it in the background, a large site takes ten minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 3 ]; then
  sed -n '2,5s/^# //p' "$0" >&2
  exit 2
fi
bench=$1 why=$2
shift 2
mkdir -p out/score
status=0
for site in "$@"; do
  name=$(basename "$site" .toml)
  output=out/score/$name.txt
  last=out/score/$name.last
  "$bench" score "$site" --jobs 3 --why "$why" >"$output" 2>&1 || status=1
  echo "== $name: $(grep -o 'GATE .*' "$output" || echo 'no verdict')"
  # A line of a day holds its name, own and other machines, score and worth.
  awk '/^[a-z]+-[0-9a-f]+ +[0-9]+\/[0-9]+ /{print $1, $4}' "$output" | while read -r day worth; do
    before=$(awk -v day="$day" '$1 == day {print $2}' "$last" 2>/dev/null || true)
    printf '%-14s %s  (last %s)\n' "$day" "$worth" "${before:--}"
  done
  awk '/^[a-z]+-[0-9a-f]+ +[0-9]+\/[0-9]+ /{print $1, $4}' "$output" >"$last"
  grep -q 'GATE passed' "$output" || status=1
done
exit $status
