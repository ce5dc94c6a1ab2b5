# Targets: build, test, lint, demo, bench, fuzz, mutants, capacity.
GO       ?= go
BIN      := bin
LINT     := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: build test lint fmt-check module-check demo

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test:
	$(GO) test ./...

fmt-check:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

module-check:
	$(GO) mod verify
	$(GO) mod tidy -diff

lint:
	@linter=$$(command -v golangci-lint || echo "$$($(GO) env GOPATH)/bin/golangci-lint"); \
	[ -x "$$linter" ] || { $(GO) install $(LINT); linter=$$($(GO) env GOPATH)/bin/golangci-lint; }; \
	"$$linter" run ./...

demo: build
	scripts/demo

.PHONY: capacity
capacity: build
	scripts/capacity
