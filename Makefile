# One command each; both set up everything that they need.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
LIBS := core log settings timeline ownership request entry emulator daemon cli standins

.PHONY: demo site test check setup bench

setup: $(VENV)/installed

$(VENV)/installed: requirements.lock $(wildcard libs/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
	  $(foreach lib,$(LIBS),--editable libs/bridgecross-$(lib)) \
	  --editable platform
	touch $@

demo: setup
	$(BIN)/bridgecross-demo

site: setup
	$(BIN)/python -m bridgecross_platform.standins.site

test: setup
	PYTHONHASHSEED=0 $(BIN)/pytest libs platform tests/matrix tests/load tests/emulated tests/test_known_red.py --ignore platform/tests/clients
	$(BIN)/pytest --numprocesses 2 tests/test_house.py
	$(BIN)/pytest --numprocesses 0 tests/clients platform/tests/clients

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

bench: setup
	$(BIN)/python -m benchmarks
