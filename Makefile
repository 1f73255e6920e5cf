# Two commands do all: `make demo` and `make test`.  Each sets up a virtual
# environment of its own first, with the versions of constraints.txt.

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := packages/keelgap packages/keelgap-balancer packages/keelgap-agent \
	packages/keelgap-standins platform
TOOLS := ruff wemake-python-styleguide mypy hypothesis approvaltests matplotlib
JSON ?=
SEED ?= 1

.PHONY: setup demo test lint format experiment experiments slopes fuzz soak

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
	$(BIN)/ruff format --check packages platform deploy tests experiments
	$(BIN)/ruff check packages platform deploy tests experiments
	$(BIN)/flake8 packages platform deploy tests experiments
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff check --fix packages platform deploy tests experiments
	$(BIN)/ruff format packages platform deploy tests experiments

# One experiment: make experiment NAME=load SEED=1 (load, spread,
# partition, retries, forwarding, upload).
experiment: $(STAMP)
	@$(BIN)/python -m experiments.$(NAME) --seed $(SEED)

experiments: $(STAMP)
	$(BIN)/python -m experiments.report --seed $(SEED)

slopes: $(STAMP)
	@$(BIN)/python -m experiments.slopes --seed $(SEED)

# The soak, some seeds one after the other: make soak SEED=100 COUNT=50
COUNT ?= 1
soak: $(STAMP)
	@$(BIN)/python -m tests.soak --seed $(SEED) --count $(COUNT)

# A longer run of the stateful tests: make fuzz SEED=7
fuzz: $(STAMP)
	KEELGAP_FUZZ=1 KEELGAP_SEED=$(SEED) $(BIN)/python -m unittest \
		tests.agent.test_oracle tests.balancer.test_oracle \
		tests.keelgap.test_oracle tests.packets.test_oracle \
		tests.packets.test_ejection_oracle tests.packets.test_lapse_oracle \
		tests.packets.test_given_back tests.packets.test_starts_oracle \
		tests.packets.test_directory_oracle tests.packets.test_readers_oracle
