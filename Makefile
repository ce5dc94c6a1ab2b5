# Targets: build, test, lint, demo, bench, loads, fuzz, mutants, capacity.
GO       ?= go
BIN      := bin
LINT     := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: build test lint fmt-check module-check demo

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Entries of KNOWN-RED.txt that begin with "go test -run NAME" are left out; .ci/run prints the file.
KNOWN_RED := $(shell sed -n 's/^go test -run \(Test[A-Za-z0-9]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
SKIP_KNOWN_RED := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')
# The tests of ALONE check the memory of processes, so they run after the others.
ALONE := ./internal/abusetest
test:
	$(GO) test $(SKIP_KNOWN_RED) $$($(GO) list ./... | grep -v '$(ALONE:.%=%)$$')
	$(GO) test $(SKIP_KNOWN_RED) $(ALONE)

fmt-check:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

module-check:
	$(GO) mod verify
	$(GO) mod tidy -diff

lint:
	@linter=$$(command -v golangci-lint || echo "$$($(GO) env GOPATH)/bin/golangci-lint"); \
	[ -x "$$linter" ] || { $(GO) install $(LINT); linter=$$($(GO) env GOPATH)/bin/golangci-lint; }; \
	"$$linter" run ./...

# Runs the build command of deploy/system.toml and checks that names of the platform's wire protocol occur only in
# platform/.
.PHONY: platform-check
platform-check:
	GO=$(GO) scripts/check-platform

demo: build
	scripts/demo

.PHONY: capacity
capacity: build
	scripts/capacity

.PHONY: fuzz mutants
# Runs the fault tests with random seeds for FUZZ_TIME; a failure prints the command that reproduces it.
FUZZ_TIME ?= 60s
fuzz:
	FUZZ_TIME=$(FUZZ_TIME) $(GO) test ./internal/faulttest -count=1 -timeout 0 -run '^TestFuzz$$' -v

# Each patch of tests/mutants breaks the enforcement of one rule; the test that it names must fail.
mutants:
	scripts/mutants

.PHONY: mutants-check
# Checks only that all patches apply; the targets mutants and soak-mutants check that the tests detect them.
mutants-check:
	@for p in tests/mutants/*.patch tests/mutants/soak/*.patch; do git apply --check $$p || { echo "does not apply: $$p"; exit 1; }; done

.PHONY: bench
# Compares the placement policy with its baselines; BENCH_FLAGS=-short omits results that depend on wall-clock time.
bench:
	$(GO) run ./cmd/masticcart-bench $(BENCH_FLAGS)

.PHONY: loads
# Prints what callers get and what is lost under each load, with the policy and with earlier rules: for each priority the
# jobs in time, late and overdue, and the seconds waited in total; jobs of team b in time; lost core-seconds.
loads:
	$(GO) test ./internal/scheduler -count=1 -v -run '^TestLoads$$' | grep -E '^ok|FAIL| p0 '

.PHONY: soak
# Runs separate processes under faults injected from outside; SOAK_SEED=0 draws a random seed. The seed is printed.
SOAK_SEED ?= 0
SOAK_FOR  ?= 30s
soak:
	$(GO) build -o $(BIN)/ ./cmd/masticcartd ./cmd/masticcart-soak
	$(BIN)/masticcart-soak --seed $(SOAK_SEED) --for $(SOAK_FOR) --daemon $(BIN)/masticcartd

.PHONY: soak-seeds soak-mutants
soak-seeds:
	$(GO) build -o $(BIN)/ ./cmd/masticcartd ./cmd/masticcart-soak
	SOAK_FOR=$(or $(SOAK_SPAN),12s) scripts/soak-seeds

# Each patch of tests/mutants/soak breaks one guarantee; the soak must detect it with at least one of ten seeds.
soak-mutants:
	scripts/soak-mutants
