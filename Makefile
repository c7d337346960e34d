# CONFIG names the file that a scheduler is started with; DEMO adds words to the demonstration, SOAK to the
# soak test. See README.md.
CONFIG ?= vetchbridge.toml
DEMO ?=
SOAK ?=

.PHONY: build kit test lint run demo soak bench sites

# The daemon and the simulator's adapter, and nothing of the kit.
build:
	cargo build --release --locked -p vetchbridge -p vetchbridge-simulator-adapter

kit:
	cargo build --release --locked -p vetchbridge -p vetchbridge-testkit -p syscall-faults

# All tests; those that KNOWN-RED.txt lists may fail.
test:
	.ci/test

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --locked --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --locked --no-deps

run: build
	target/release/vetchbridge serve --config $(CONFIG)

# A whole platform on this machine under load, and what came of it.
demo: kit
	target/release/vetchbridge-testkit demo $(DEMO)

# Troubles that overlap, against schedulers whose system calls fail, and the promises that must hold.
soak: kit
	target/release/vetchbridge-testkit soak $(SOAK)

# The daemon's processor time a request beside a bare relay's.
bench: kit
	target/release/vetchbridge-testkit bench

# The bench reads three files of its own beside a site file. KIT names the folder that holds them; git ignores the copies.
sites:
	@test -n "$(KIT)" || { echo "make sites KIT=FOLDER: the folder with the bench's real.json, wire.json and unlock.txt"; exit 2; }
	cp "$(KIT)/real.json" "$(KIT)/wire.json" "$(KIT)/unlock.txt" deploy/sites/
	chmod u+w deploy/sites/real.json deploy/sites/wire.json deploy/sites/unlock.txt
