# CONFIG is the configuration file for `make run`. DEMO and SOAK are extra arguments for `make demo` and
# `make soak`. See README.md.
CONFIG ?= vetchbridge.toml
DEMO ?=
SOAK ?=

.PHONY: build kit test lint run demo soak bench sites

# Builds the daemon and the simulator's adapter, without the kit.
build:
	cargo build --release --locked -p vetchbridge -p vetchbridge-simulator-adapter

# Builds the kit and what it runs: the daemon and the library that makes system calls fail.
kit:
	cargo build --release --locked -p vetchbridge -p vetchbridge-testkit -p syscall-faults

# Runs all tests; those that KNOWN-RED.txt lists may fail.
test:
	.ci/test

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --locked --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --locked --no-deps

run: build
	target/release/vetchbridge serve --config $(CONFIG)

# Runs a whole deployment on this machine under load and reports the results.
demo: kit
	target/release/vetchbridge-testkit demo $(DEMO)

# Injects overlapping faults into a deployment whose schedulers' system calls fail, and checks its invariants.
soak: kit
	target/release/vetchbridge-testkit soak $(SOAK)

# Compares the daemon's processor time per request with that of a bare relay.
bench: kit
	target/release/vetchbridge-testkit bench

# Copies the three files that the bench reads beside a site file. KIT is the folder that holds them; git
# ignores the copies.
sites:
	@test -n "$(KIT)" || { echo "usage: make sites KIT=FOLDER (FOLDER contains the bench's real.json, wire.json and unlock.txt)"; exit 2; }
	cp "$(KIT)/real.json" "$(KIT)/wire.json" "$(KIT)/unlock.txt" deploy/sites/
	chmod u+w deploy/sites/real.json deploy/sites/wire.json deploy/sites/unlock.txt
