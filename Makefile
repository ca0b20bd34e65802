# Every target installs what it needs into $(VENV).
VENV ?= .venv
PYTHON ?= python3
DEPLOYMENT ?= ramdenee
BIN = $(VENV)/bin
# In RAM: hosts have no disk. SHIV_ROOT overrides it when the binary starts.
BINARY_ROOT = /dev/shm/jackdawspur
STAMP = $(VENV)/.installed

.PHONY: install test lint format demo demo-front bench bench-front bench-decisions bench-configuration \
	bench-report slopes shares binary fuzz speed soak

install: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $(STAMP)

lint: install
	$(BIN)/ruff check jackdawspur
	$(BIN)/ruff format --check jackdawspur

format: install
	$(BIN)/ruff check --fix jackdawspur
	$(BIN)/ruff format jackdawspur

test: lint
	$(BIN)/python -m pytest

# The core logic in virtual time against its bounds, then real processes: one host's
# speed, and configuration. About half an hour; bench-decisions takes DEPLOYMENT=...
bench: bench-decisions bench-front speed bench-configuration

# The leader's core logic on the customers' platform, about half a minute.
bench-front: install
	$(BIN)/python -m jackdawspur.bench.front

bench-decisions: install
	$(BIN)/python -m jackdawspur.bench --deployment=$(if $(filter default undefined file,$(origin DEPLOYMENT)),all,$(DEPLOYMENT)) $(BENCH_FLAGS)

bench-configuration: install
	$(BIN)/python -m jackdawspur.entry.measure

# Draws docs/pictures from the steady runs of all policies.
bench-report: install
	$(BIN)/python -m jackdawspur.bench --scenario=steady | $(BIN)/python -m jackdawspur.pictures
# FUZZ_EXAMPLES is the number of examples a test; each run generates new ones.
fuzz: install
	FUZZ_EXAMPLES=$(or $(FUZZ_EXAMPLES),2000) $(BIN)/python -m pytest jackdawspur/fuzz

# Real processes under faults, about 15 minutes, first the seeds that have shown a fault;
# SOAK_FLAGS="--nokept --first=51 --seeds=10".
soak: install
	$(BIN)/python -m jackdawspur.soak --kept $(SOAK_FLAGS)

demo: install
	PYTHON=$(BIN)/python scripts/demo $(DEPLOYMENT)

# Three hosts on the stand-in of the customers' platform, with jobs from each.
demo-front: install
	PYTHONPATH=. $(BIN)/python scripts/demo_front

# One file that needs Python 3.11 on its host and nothing else: docs/design/binary.md.
# Without --compile-pyc: shiv would compile in child processes at the first start.
binary: install
	rm -rf build dist/jackdawspur
	mkdir -p dist
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-compile \
	  --target build/site -r requirements.txt .
	rm -rf build/site/setuptools build/site/setuptools-* build/site/_distutils_hack \
	  build/site/distutils-precedence.pth build/site/bin
	find build/site -type d -name tests -prune -exec rm -rf {} +
	$(BIN)/shiv --site-packages build/site --entry-point jackdawspur.__main__:run \
	  --python '/usr/bin/env python3.11' --root $(BINARY_ROOT) --compressed \
	  --preamble scripts/binary_preamble.py --output-file dist/jackdawspur
	$(BIN)/python scripts/check_binary.py dist/jackdawspur

slopes: install
	PYTHON=$(BIN)/python scripts/slopes

shares: install
	$(BIN)/python -m jackdawspur.shares

# One entry host as a process, at saturation and at half of it: docs/design/speed.md.
speed: install
	$(BIN)/python -m jackdawspur.load.speed
