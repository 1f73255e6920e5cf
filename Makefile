# Two commands do all: `make demo` and `make test`.  Each sets up a virtual
# environment of its own first, with the versions of constraints.txt.

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := packages/keelgap packages/keelgap-balancer packages/keelgap-agent \
	packages/keelgap-standins
TOOLS := ruff wemake-python-styleguide mypy hypothesis matplotlib
JSON ?=
SEED ?= 1

.PHONY: setup demo test lint format

setup: $(STAMP)

$(STAMP): constraints.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
		-c constraints.txt setuptools wheel
	$(BIN)/pip install --quiet --disable-pip-version-check \
		-c constraints.txt --no-build-isolation \
		$(addprefix -e ,$(PACKAGES)) $(TOOLS)
	touch $(STAMP)

demo: $(STAMP)
	@$(BIN)/python -m keelgap_standins.demo $(if $(JSON),--json) --seed $(SEED)

test: $(STAMP)
	$(BIN)/python -m tests.run

lint: $(STAMP)
	$(BIN)/ruff format --check packages tests experiments
	$(BIN)/flake8 packages tests experiments
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format packages tests experiments
