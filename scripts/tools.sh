#!/usr/bin/env bash
# Installs the development tools at fixed versions into the folder given as argument, except those that are there already
# at this version.
set -eu
export GOBIN=$1 GOWORK=off
mkdir -p "$GOBIN"

# The version that was installed is kept in a file next to the tool.
install_tool() {
  local name=$1 package=$2 version=$3
  if [ ! -x "$GOBIN/$name" ] || [ "$(cat "$GOBIN/$name.version" 2>/dev/null)" != "$version" ]; then
    go install "$package@$version"
    echo "$version" >"$GOBIN/$name.version"
  fi
}

install_tool buf github.com/bufbuild/buf/cmd/buf v1.75.0
install_tool protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go v1.36.12
install_tool protoc-gen-go-grpc google.golang.org/grpc/cmd/protoc-gen-go-grpc v1.6.2
install_tool gofumpt mvdan.cc/gofumpt v0.12.0
install_tool golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint v2.15.0
