# Two commands on a fresh machine: `make demo` and `make check`.
BUILD := build

.PHONY: all packages build demo check test format-check lint format pages

all: build

packages:
	scripts/install-packages

build: packages
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD)

# Runs a small installation with stand-ins and shows what a caller sees.
demo: build
	DOTTEREL_BIN_DIR=$(BUILD) scripts/demo

# Runs every test, the formatter and the linter, and checks the pages.
check: build format-check pages lint test

test:
	scripts/run-tests $(BUILD)

pages:
	scripts/check-docs $(BUILD)

format-check:
	scripts/list-sources | xargs clang-format --dry-run --Werror

format:
	scripts/list-sources | xargs clang-format -i

lint:
	scripts/lint $(BUILD)
