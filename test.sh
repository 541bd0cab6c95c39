#!/usr/bin/env bash
# Checks formatting, lint, build and generated code, and runs the tests. Tests
# listed in KNOWN-RED.txt are skipped; each of them must exist.
set -euo pipefail
cd "$(dirname "$0")"
export CGO_ENABLED=1
linter_version=v2.15.0
bin=$(go env GOPATH)/bin

say() { printf '== %s\n' "$1"; }

say format
unformatted=$(gofmt -l $(git ls-files '*.go'))
if [ -n "$unformatted" ]; then
	printf 'not formatted:\n%s\n' "$unformatted"
	exit 1
fi

say lint
if ! "$bin/golangci-lint" version 2>/dev/null | grep -q "${linter_version#v}"; then
	go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$linter_version"
fi
go vet ./...
"$bin/golangci-lint" run --allow-parallel-runners ./...

say build
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
go build -o "$out/dandelionlift" ./cmd/dandelionlift
linked=$(ldd "$out/dandelionlift")
if ! grep -q 'libc\.so' <<<"$linked"; then
	echo 'the binary is not linked to the C library'
	exit 1
fi

say generated
if command -v protoc >/dev/null && [ -x "$bin/protoc-gen-go" ] && [ -x "$bin/protoc-gen-connect-go" ]; then
	./generate.sh
	git diff --exit-code -- '*.pb.go' '*.connect.go'
else
	echo 'generators not installed: generated code not compared'
fi

say known
red=$(sed -nE 's/^test: *([A-Za-z0-9_]+).*/\1/p' KNOWN-RED.txt)
for name in $red; do
	if ! grep -rqE --include='*_test.go' "^func $name\(" .; then
		echo "KNOWN-RED.txt names $name, which does not exist"
		exit 1
	fi
done
[ -n "$red" ] && printf 'known red: %s\n' $red

say test
skip=$(printf '%s' "$red" | paste -sd'|' -)
go test -race -timeout 20m ${skip:+-skip "^($skip)\$"} ./...
