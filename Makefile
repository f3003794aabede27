# Each target sets up all it needs; the set-up is skipped when it is already done.
PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: setup test lint demo demo-platform

setup: $(STAMP)

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[test]'
	touch $(STAMP)

lint: setup
	$(VENV)/bin/ruff format --check src tests
	$(VENV)/bin/ruff check src tests

test: setup
	$(VENV)/bin/nose2

demo: setup
	$(VENV)/bin/python -m quaymill_bench.demo

demo-platform: setup
	$(VENV)/bin/python -m quaymill_bench.fleet_demo
