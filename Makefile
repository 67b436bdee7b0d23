# Targets: build, test, demo, bench, soak, schedules, generate, fmt.
GO ?= go
STATICCHECK_VERSION := v0.8.2
SEEDS ?= 50
FIRST ?= 1
SCHEDULES ?= 1000

.PHONY: build test demo bench soak schedules generate fmt

build:
	$(GO) build -o bin/ ./cmd/...

test:
	./scripts/check.sh

demo: build
	./scripts/demo.sh

bench: build
	./bin/arbutus-bench all

# Runs real processes under injected faults with SEEDS seeds, the first one FIRST,
# three at a time.
soak:
	ARBUTUS_SOAK_FIRST=$(FIRST) ARBUTUS_SOAK_SEEDS=$(SEEDS) $(GO) test -count=1 -timeout 60m -parallel 3 ./soak

# Runs SCHEDULES random schedules of each simulation in virtual time.
schedules:
	ARBUTUS_SCHEDULES=$(SCHEDULES) $(GO) test -count=1 -timeout 60m ./bench/...

generate:
	./scripts/generate.sh

fmt:
	gofmt -w $$(git ls-files '*.go')
