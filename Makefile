# The linter and the formatters it runs are pinned here and nowhere else.
GOLANGCI := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
GOPLS := golang.org/x/tools/gopls@v0.23.0 # v0.24 needs a newer Go

.PHONY: build run up test lint format rename unit bench compare soak

build:
	go build -o bin/ ./cmd/...

# Two data mixes through real processes, a reclaim in the middle of each.
run: build
	./bin/birchup --run

# The same processes, left running until Ctrl-C.
up: build
	./bin/birchup

test: lint unit

lint:
	go run $(GOLANGCI) run ./...
	go run $(GOLANGCI) fmt --diff ./...
	go mod tidy -diff

format:
	go run $(GOLANGCI) fmt ./...

# Renames an identifier in all packages and tests: make rename AT=FILE:LINE:COLUMN TO=NAME
rename:
	go run $(GOPLS) rename -w $(AT) $(TO)

# The tests of KNOWN-RED.txt, each the first word of its line, are passed over.
RED := $(shell cut -d' ' -f1 KNOWN-RED.txt | paste -sd'|')

unit: build
	go test -race $(if $(RED),-skip '$(RED)') ./...

bench:
	go test -run '^$$' -bench . -benchtime 0.3s ./...

# Decisions by the chosen policies and by their baselines; the same every time.
compare:
	@go run ./cmd/birchcompare compare/data/*.txt

# Boxes as real processes under faults drawn from a seed: make soak SEED=7 FOR=30s
SEED ?= 1
FOR ?= 6s
SEEDS ?= 1
soak: build
	./bin/birchsoak --seed $(SEED) --seeds $(SEEDS) --for $(FOR)
