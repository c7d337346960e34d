# CONFIG names the file that a scheduler is started with; see README.md.
CONFIG ?= config.json

.PHONY: build test lint run

build:
	cargo build --release --locked -p vetchbridge -p wirehost

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --locked --all-targets -- -D warnings

run: build
	BALANCER_CONFIG=$(CONFIG) target/release/vetchbridge
