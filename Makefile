# Entry point for all tasks. Each target installs missing packages and builds
# what it needs first.

.PHONY: all setup build demo check replay fleet bench fuzz lint report faults \
	kill-rounds soak install clean

all: build

setup:
	@scripts/install-packages.sh

build: setup
	@cmake -S . -B build >/dev/null
	@cmake --build build -j $$(nproc)

demo: build
	@scripts/demo.sh build

check: setup
	@scripts/check.sh

replay: build
	@scripts/replay.sh build

# Compares with a second build: make fleet AGAINST=folder.
fleet: build
	@scripts/fleet.sh build $(if $(AGAINST),--against $(AGAINST))

bench: build
	@scripts/bench.sh build

fuzz: setup
	@scripts/fuzz.sh

report: build
	@scripts/report.sh build

faults: build
	@scripts/faults-together.sh build

kill-rounds: build
	@scripts/kill-rounds.sh build 200

# Runs one seed: make soak SEED=n SECONDS=n. For several seeds: scripts/soak.sh.
SEED ?= 1
SECONDS ?= 30
soak: build
	@scripts/soak.sh build $(SECONDS) 1 $(SEED)

lint: build
	@scripts/lint.sh build

install: build
	@cmake --install build

clean:
	rm -rf build build-asan build-tsan build-fuzz out
