#!/usr/bin/env bash
# Generates the Go code of every .proto file, beside the file.
set -euo pipefail
cd "$(dirname "$0")"
PATH="$(go env GOPATH)/bin:$PATH"
for proto in $(git ls-files '*.proto'); do
	protoc --go_out=. --go_opt=paths=source_relative \
		--connect-go_out=. --connect-go_opt=paths=source_relative --connect-go_opt=package_suffix= "$proto"
done
