# Development tasks of the project; CI runs `make check`.
PYTHON ?= python3.11
BIN = .venv/bin

.PHONY: demo check format lint types generated test docs clean

demo: .venv/installed
	PATH="$(CURDIR)/$(BIN):$$PATH" bash tools/demo.sh
	PATH="$(CURDIR)/$(BIN):$$PATH" bash tools/demo_platform.sh

check: lint types generated docs-check test

.venv/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch .venv/installed

format: .venv/installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: .venv/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: .venv/installed
	$(BIN)/mypy

generated: .venv/installed
	PATH="$(CURDIR)/$(BIN):$$PATH" bash tools/check_generated.sh

docs: .venv/installed
	$(BIN)/python tools/reference.py --write

docs-check: .venv/installed
	$(BIN)/python tools/reference.py

test: .venv/installed
	$(BIN)/python tools/run_tests.py

clean:
	rm -rf .venv .mypy_cache .ruff_cache .hypothesis build *.egg-info
