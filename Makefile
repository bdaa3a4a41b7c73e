# make setup   installs the packages that the build needs
# make build   builds everything into build/
# make demo    runs the main job on the embedded stand-ins
# make test    checks and tests everything
# make soak    plays SEEDS fresh seeds of the fault soak, and the kept ones
# make proto   makes the C files of the messages in proto/ anew
# make install installs the library, header and programs

BUILD ?= build
JOBS ?= $(shell nproc)
PREFIX ?= /usr/local
PACKAGES = $(shell cat .ci/packages)

SEEDS ?= 50
FIRST ?= $(shell date +%s)

.PHONY: setup build demo test check soak proto install clean

setup:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
	  (apt-get update && apt-get install -y --no-install-recommends $(PACKAGES))

build: setup
	@cmake -S . -B $(BUILD) -DCMAKE_INSTALL_PREFIX=$(PREFIX) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS) -- --no-print-directory

demo: build
	@tools/demo.sh $(BUILD)

check: build
	@tools/check.sh $(BUILD)

test: check
	@cmake -S . -B build-asan -DLS_SANITIZE=address >/dev/null
	@cmake --build build-asan -j $(JOBS) -- --no-print-directory
	@cmake -S . -B build-tsan -DLS_SANITIZE=thread >/dev/null
	@cmake --build build-tsan -j $(JOBS) -- --no-print-directory
	@tools/run_tests.sh $(BUILD)

soak: build
	@soak/run.sh $(BUILD) kept 0
	@echo "fresh seeds from $(FIRST)"
	@soak/run.sh $(BUILD) $(FIRST) $(SEEDS)

proto: setup
	@cd proto && protoc-c --c_out=. gossip.proto peer.proto

install: build
	@cmake --install $(BUILD)

clean:
	rm -rf build build-asan build-tsan
