# The two commands a newcomer needs are `make demo` and `make test`.
BUILD ?= build
JOBS ?= $(shell nproc)
PACKAGES = cmake ninja-build g++ ccache pkg-config clang-format clang-tidy libh2o-dev libuv1-dev \
  libnghttp2-dev prometheus-cpp-dev libcli11-dev liblog4cxx-dev catch2 \
  librapidcheck-dev libinih-dev libmsgpack-cxx-dev nlohmann-json3-dev \
  libsodium-dev libxxhash-dev libboost-dev libssl-dev zlib1g-dev
CCACHE = $(if $(shell command -v ccache),-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)

.PHONY: all setup build test demo fuzz soak proofs lint format bench-control bench-burst bench-requests capacity docs

all: build

setup:
	@scripts/setup $(PACKAGES)

build: setup
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_EXPORT_COMPILE_COMMANDS=ON $(CCACHE) --log-level=WARNING
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@cd $(BUILD) && ctest --output-on-failure -j 4
	@echo 'known failures:'; cat KNOWN-RED.txt
	@sed -n '/known_failures/,/<end of output>/p' $(BUILD)/Testing/Temporary/LastTest.log | grep -E '^(passed|known failure): ' || true

# KEEP=1 leaves the fleet running and prints lines to try.
demo: build
	@$(if $(KEEP),KEEP=1) $(BUILD)/bench/chalkwell-demo

# Long runs of the fuzzer: make fuzz MINUTES=2 SEED=1
MINUTES ?= 1
SEED ?= 1
fuzz: build
	@$(BUILD)/tests/fuzz_long $(MINUTES) $(SEED)

# Real processes under faults: make soak SEED=1 SECONDS=40 [KINDS=freeze,kill]
SECONDS ?= 40
soak: build
	@$(BUILD)/tests/soak_long $(SEED) $(SECONDS) $(KINDS)

# Measures what control costs (some minutes) and keeps the output for CAPACITY.md.
bench-control: build
	@$(BUILD)/bench/bench_control | tee docs/measurements/control.txt

# CAPACITY.md from the kept output.
capacity: build
	@$(BUILD)/bench/capacity docs/measurements/control.txt > docs/CAPACITY.md
	@echo docs/CAPACITY.md

# The figures behind docs/PROOFS.md.
proofs: build
	@(RC_PARAMS="seed=20261202 max_success=40" $(BUILD)/tests/fuzz_tests; \
	  $(BUILD)/tests/fuzz_long 1 1; $(BUILD)/tests/failure_tests "[requests]") \
	  | grep -E "figure|caught|MISSED|passed|failed" | tee docs/measurements/proofs.txt

# Weights to N instances: make bench-burst N=60 POLICY=origin|time [FAULTS=1]
N ?= 60
POLICY ?= origin
bench-burst: build
	@$(BUILD)/bench/bench_burst $(N) $(POLICY) $(if $(FAULTS),faults)

# Overload, fairness, endpoints that go; PARTS="overload gone" names some.
bench-requests: build
	@$(BUILD)/bench/bench_requests $(PARTS)

# Reference pages that are printed by the code.
docs: build
	@$(BUILD)/packages/cli/chalkwell explain --settings > docs/SETTINGS.md
	@$(BUILD)/packages/cli/chalkwell explain --events > docs/EVENTS.md

lint: build
	@scripts/lint $(BUILD)

format:
	@git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' | xargs clang-format -i
