VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.requirements-installed

.PHONY: setup demo test failures lint types format

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --requirement requirements-dev.txt
	touch $@

demo: setup
	$(PY) -m godwitnotch demo

test: setup
	$(PY) -m tests

failures: setup
	$(PY) -m tests.process.volume --jobs 4000 --seed 1

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

types: setup
	$(VENV)/bin/mypy

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .
