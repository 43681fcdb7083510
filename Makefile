PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup test demo lint format bench fuzz

setup: .venv/ready

.venv/ready: pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install -q -c constraints.txt -e '.[dev]'
	touch $@

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
