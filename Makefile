PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup test demo lint format bench fuzz soak defects

setup: .venv/ready

.venv/ready: pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install -q -c constraints.txt -e '.[dev]'
	touch $@

# KNOWN-RED.txt lists tests that fail because of a known fault, one line "test: <node id>" each.
KNOWN_RED := $(shell sed -n 's/^test: /--deselect /p' KNOWN-RED.txt 2>/dev/null)

test: setup
	@test ! -f KNOWN-RED.txt || cat KNOWN-RED.txt
	$(BIN)/python -m pytest $(KNOWN_RED)

demo: setup
	$(BIN)/apricot-local demo settings/order-desk.jsonc settings/crock-control.jsonc

fuzz: setup
	$(BIN)/python -m pytest testing/fuzz --fuzz-profile=long -s

soak: setup
	$(BIN)/apricot-soak run settings/soak.jsonc

defects: setup
	$(BIN)/python testing/defects/run.py

bench: setup
	$(BIN)/python -m apricotpoint._bench --deployment settings/order-desk.jsonc \
		--deployment settings/crock-control.jsonc --report build/bench

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
