.PHONY: build test lint run system sites

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

# A small system on loopback addresses; Ctrl-C ends it.
system:
	examples/system/start

# What the operators' bench wants beside a site file of ours; not kept in the repository.
GIVEN ?= ../given
sites:
	cp $(GIVEN)/kit/sites/real.json $(GIVEN)/kit/sites/wire.json deploy/sites/
	cp $(GIVEN)/kit/users/unlock.txt deploy/sites/unlock.txt
	chmod u+w deploy/sites/*
