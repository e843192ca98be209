VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.requirements-installed

.PHONY: setup demo test failures scenarios histories leased-histories mutants soak bench capacity binary binary-cost lint types format

# How many histories of each kind `make histories` tries, and from which seed.
HISTORIES ?= 2000
HISTORIES_SEED ?= 1

setup: $(STAMP)

$(STAMP): requirements.txt requirements-host.txt requirements-dev.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --requirement requirements-dev.txt
	touch $@

demo: setup
	$(PY) -m godwitnotch demo
	$(PY) -m godwitnotch demo --on-platform

test: setup
	$(PY) -m tests

failures: setup
	$(PY) -m tests.process.volume --jobs 4000 --seed 1

scenarios: setup
	$(PY) -m tests.scenarios

histories: setup
	HISTORIES=$(HISTORIES) HISTORIES_SEED=$(HISTORIES_SEED) \
	    $(PY) -m tests.test_differential

leased-histories: setup
	LEASED_HISTORIES=$(HISTORIES) LEASED_SEED=$(HISTORIES_SEED) \
	    $(PY) -m unittest tests.test_leased_histories

# Real processes with faults from a seed; prints the runs that broke a rule.
SEED ?= 1
MINUTES ?= 1
HOSTS ?= 6

soak: setup
	$(PY) -m tests.soak --seed $(SEED) --minutes $(MINUTES) --hosts $(HOSTS)

mutants: setup
	$(PY) -m tests.mutants

# The chosen policy comes last; a few minutes.
bench: setup
	$(PY) -m bench.fleet_bench --seeds 2 --load 0.7

# Slopes of docs/CAPACITY.md; some ten minutes on a machine at rest.
capacity: setup
	$(PY) -m bench.state_slopes
	$(PY) -m bench.thin_path
	$(PY) -m bench.control_cost

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

types: setup
	$(VENV)/bin/mypy

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

# One file that runs with the host's own CPython 3.11.
binary: setup
	rm -rf build
	mkdir -p dist
	$(VENV)/bin/shiv --quiet --compressed --reproducible \
		--python "/usr/bin/env python3.11" --entry-point godwitnotch.cli:main \
		--output-file dist/godwitnotch --requirement requirements.txt .
	rm -rf build godwitnotch.egg-info
	@echo "binary=dist/godwitnotch bytes=$$(stat -c %s dist/godwitnotch)"

binary-cost: binary
	$(PY) -m bench.binary_cost dist/godwitnotch
