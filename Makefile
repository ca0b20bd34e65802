# Every target installs what it needs into $(VENV).
VENV ?= .venv
PYTHON ?= python3
DEPLOYMENT ?= ramdenee
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: install test lint format demo bench bench-report slopes shares binary fuzz

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

# Without DEPLOYMENT=... from outside this runs both deployments' sizes.
bench: install
	$(BIN)/python -m jackdawspur.bench --deployment=$(if $(filter default undefined file,$(origin DEPLOYMENT)),all,$(DEPLOYMENT)) $(BENCH_FLAGS)

# Draws docs/pictures from the steady runs of all policies.
bench-report: install
	$(BIN)/python -m jackdawspur.bench --scenario=steady | $(BIN)/python -m jackdawspur.pictures

demo: install
	PYTHON=$(BIN)/python scripts/demo $(DEPLOYMENT)

slopes: install
	PYTHON=$(BIN)/python scripts/slopes

shares: install
	$(BIN)/python -m jackdawspur.shares
