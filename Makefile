.PHONY: build demo test ci bench

build:
	scripts/install-tools
	cargo build --workspace --quiet

demo: build
	scripts/demo

test: build
	scripts/test

ci:
	.ci/run

bench:
	cargo bench --workspace
