.PHONY: build test lint run

build:
	cargo build --release --workspace --locked

test:
	.ci/run

lint:
	cargo fmt --all --check
	cargo clippy --workspace --locked --all-targets -- -D warnings

# PROXY_CONFIG names the configuration; the example's by default.
run: build
	PROXY_CONFIG=$${PROXY_CONFIG:-examples/config.json} target/release/pebblepost
