# Every target installs its dependencies into $(VENV).
VENV ?= .venv
PYTHON ?= python3
DEPLOYMENT ?= ramdenee
BIN = $(VENV)/bin
# In RAM, because hosts have no disk; SHIV_ROOT overrides it when the binary starts.
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

# Checks the core logic in virtual time against its bounds, then measures real processes:
# one host's speed, and configuration. Takes about half an hour; bench-decisions accepts
# DEPLOYMENT=...
bench: bench-decisions bench-front speed bench-configuration

# The leader's core logic on the customers' platform; takes about half a minute.
bench-front: install
	$(BIN)/python -m jackdawspur.bench.front

bench-decisions: install
	$(BIN)/python -m jackdawspur.bench --deployment=$(if $(filter default undefined file,$(origin DEPLOYMENT)),all,$(DEPLOYMENT)) $(BENCH_FLAGS)

bench-configuration: install
	$(BIN)/python -m jackdawspur.entry.measure

# Draws docs/pictures from the steady runs of all policies.
bench-report: install
	$(BIN)/python -m jackdawspur.bench --scenario=steady | $(BIN)/python -m jackdawspur.pictures
# FUZZ_EXAMPLES is the number of examples per test; each run generates new ones.
fuzz: install
	FUZZ_EXAMPLES=$(or $(FUZZ_EXAMPLES),2000) $(BIN)/python -m pytest jackdawspur/fuzz

# Real processes under injected faults, starting with the seeds that once exposed a bug;
# takes about 15 minutes. Example: SOAK_FLAGS="--nokept --first=51 --seeds=10".
soak: install
	$(BIN)/python -m jackdawspur.soak --kept $(SOAK_FLAGS)

demo: install
	PYTHON=$(BIN)/python scripts/demo $(DEPLOYMENT)

# Jobs on three hosts with the stand-in of the customers' platform.
demo-front: install
	PYTHONPATH=. $(BIN)/python scripts/demo_front

# One file that needs only Python 3.11 on its host; see docs/design/binary.md.
# Without --compile-pyc, because shiv would compile in child processes at first start.
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

# One entry host process, at saturation and at half of it; see docs/design/speed.md.
speed: install
	$(BIN)/python -m jackdawspur.load.speed
