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

# The build line of deploy/system.toml, and no name of the platform's wire outside platform/.
.PHONY: platform-check
platform-check:
	GO=$(GO) scripts/check-platform

demo: build
	scripts/demo

.PHONY: capacity
capacity: build
	scripts/capacity

.PHONY: fuzz mutants
# Random seeds of the fault tests for FUZZ_TIME; a failure prints the command that repeats it.
FUZZ_TIME ?= 60s
fuzz:
	FUZZ_TIME=$(FUZZ_TIME) $(GO) test ./internal/faulttest -count=1 -timeout 0 -run '^TestFuzz$$' -v

# Each patch of tests/mutants breaks one enforcing rule; the test that it names must fail.
mutants:
	scripts/mutants

.PHONY: mutants-check
# All patches apply to the code as it is; what they find is shown by mutants and soak-mutants.
mutants-check:
	@for p in tests/mutants/*.patch tests/mutants/soak/*.patch; do git apply --check $$p || { echo "does not apply: $$p"; exit 1; }; done

.PHONY: bench
# The placement policy against its baselines; BENCH_FLAGS=-short leaves out what depends on wall time.
bench:
	$(GO) run ./cmd/masticcart-bench $(BENCH_FLAGS)

.PHONY: soak
# Real processes under faults from outside; SOAK_SEED=0 draws a seed and prints it.
SOAK_SEED ?= 0
SOAK_FOR  ?= 30s
soak:
	$(GO) build -o $(BIN)/ ./cmd/masticcartd ./cmd/masticcart-soak
	$(BIN)/masticcart-soak --seed $(SOAK_SEED) --for $(SOAK_FOR) --daemon $(BIN)/masticcartd

.PHONY: soak-seeds soak-mutants
soak-seeds:
	$(GO) build -o $(BIN)/ ./cmd/masticcartd ./cmd/masticcart-soak
	SOAK_FOR=$(or $(SOAK_SPAN),12s) scripts/soak-seeds

# Each patch of tests/mutants/soak breaks one promise; some of ten seeds of the soak must find it.
soak-mutants:
	scripts/soak-mutants
