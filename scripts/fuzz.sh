#!/usr/bin/env bash
# Runs each fuzz target of the repository for FUZZTIME (5s by default). With --list
# it prints the targets, one "package name" a line.
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}

targets() {
  grep -r --include='*_test.go' '^func Fuzz' cmd internal platform |
    sed -E 's|^(.*)/[^/]*_test\.go:func (Fuzz[A-Za-z0-9_]*)\(.*|./\1 \2|' | sort
}

if [ "${1:-}" = --list ]; then
  targets
  exit
fi
status=0
while read -r package name; do
  echo "$package $name"
  # go test fuzzes one target of one package at a time. Its workers are few, because
  # the machine may be shared.
  "$go" test "$package" -run '^$' -fuzz "^$name\$" -fuzztime "${FUZZTIME:-5s}" -parallel 4 || status=1
done < <(targets)
exit $status
