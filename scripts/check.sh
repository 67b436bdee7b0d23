#!/usr/bin/env bash
# Checks the formatting and the imports of stand-ins, runs go vet and staticcheck, and
# runs all tests with the race detector.
set -euo pipefail
cd "$(dirname "$0")/.."
STATICCHECK="honnef.co/go/tools/cmd/staticcheck@v0.8.2"

# The race detector needs a C compiler.
if ! command -v gcc >/dev/null; then
  if [ "$(id -u)" = 0 ] && command -v apt-get >/dev/null; then
    apt-get update -q && apt-get install -yq gcc libc6-dev
  else
    echo "gcc is not installed; the race detector needs it" >&2
    exit 1
  fi
fi

unformatted=$(git ls-files '*.go' | xargs -r gofmt -l)
if [ -n "$unformatted" ]; then
  echo "not formatted:" >&2
  echo "$unformatted" >&2
  exit 1
fi
go vet ./...
go run "$STATICCHECK" ./...
if grep -rln '"github.com/arbutusline/arbutusline/standin' --include='*.go' . |
  grep -v -e '_test\.go$' -e '^./standin/' -e '^./cmd/arbutus-standin/' -e '^./cmd/arbutus-bench/' -e '^./bench/'; then
  echo "product packages import a stand-in" >&2
  exit 1
fi
if [ -s KNOWN-RED.txt ]; then
  echo "known failures, passed over:"
  cat KNOWN-RED.txt
fi
# Skips exactly the tests that KNOWN-RED.txt names in its "Test:" lines.
known=$(sed -n 's/^ *Test: *\(Test[A-Za-z0-9_]*\) *$/^\1$/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
go test -race -timeout 9m ${known:+-skip "$known"} ./...
