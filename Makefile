PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
.DEFAULT_GOAL := help

.PHONY: help
help: ## Show the targets
	@grep -E '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | sed 's/:.*## /\t/' | expand -t 12

# Installs groups of pyproject.toml into .venv unless it has them.
define install
@$(PYTHON) -c 'import sys; sys.exit(sys.version_info[:2] != (3, 11))' 2>/dev/null || { \
	echo "error: $(PYTHON) is not a Python 3.11: install Python 3.11, then run" \
		"make PYTHON=/path/to/python3.11" >&2; exit 1; }
@$(PYTHON) -m tools.environment $(1)
endef

.PHONY: demo
demo: ## Run both example deployments on loopback and show what they answer
	$(call install,product)
	@$(BIN)/python -m demo.run

.PHONY: test
test: ## Run the tests
	$(call install,product test model)
	@$(BIN)/nose2 -s tests -t .

FUZZ_SECONDS ?= 60

.PHONY: fuzz
fuzz: ## Feed random bytes to all decoders; FUZZ_SECONDS sets how long
	$(call install,product test)
	@end=$$(($$(date +%s) + $(FUZZ_SECONDS))); while [ $$(date +%s) -lt $$end ]; do \
		FUZZ_EXAMPLES=2000 $(BIN)/nose2 -s tests -t . tests.test_fuzz tests.test_fuzz_gateway \
		|| exit 1; done

.PHONY: measure
measure: ## Run the scenarios with the current and the naive policy
	$(call install,product measure)
	@$(BIN)/python -m measure.run --output=build/measure.json
	@$(BIN)/python -m measure.plot build/measure.json

.PHONY: experiment
experiment: ## Compare policies on the emulator, one table for each file in measure/experiments
	$(call install,product)
	@$(BIN)/python -m measure.experiment measure/experiments/*.toml

.PHONY: model
model: ## Prove the specifications of the core protocols and break their mutants
	$(call install,product test model)
	@$(BIN)/python -m model.check
	@$(BIN)/python -m model.mutants

.PHONY: capacity
capacity: ## Measure slopes and regenerate the tables of docs/CAPACITY.md
	$(call install,product)
	@$(BIN)/python -m measure.capacity

.PHONY: capacity-gateway
capacity-gateway: ## Regenerate the gateway's table of docs/CAPACITY.md from SWEEP, a journal entry, beside OLDER
	$(call install,product)
	@$(BIN)/python -m measure.sweep_tables $(SWEEP) $(OLDER)

.PHONY: cost
cost: ## Measure processor time and memory against a bare loop
	$(call install,product)
	@$(BIN)/python -m measure.cost

SEEDS ?= 3
SECONDS ?= 20
VMS ?= 4
SOAK_FLAGS ?=

.PHONY: soak
soak: ## Run the real programs under faults; SEEDS, SECONDS and VMS set the size
	$(call install,product)
	@$(BIN)/python -m soak.run --seeds=$(SEEDS) --seconds=$(SECONDS) --vms=$(VMS) $(SOAK_FLAGS)

.PHONY: soak-regressions
soak-regressions: ## Run every seed of the soak that ever failed
	$(call install,product)
	@grep -v '^#' soak/regressions.txt | while read -r options; do \
		$(BIN)/python -m soak.run --seeds=1 $$options || exit 1; done

.PHONY: soak-mutants
soak-mutants: ## Show that the soak notices each promise that a mutant breaks
	$(call install,product)
	@$(BIN)/python -m soak.mutants

.PHONY: red
red: ## Run the tests that KNOWN-RED.txt lists, and all others
	$(call install,product test model)
	@RUN_KNOWN_RED=1 $(BIN)/nose2 -s tests -t .

.PHONY: lint
lint: ## Check formatting and style
	$(call install,lint)
	@$(BIN)/ruff format --check .
	@$(BIN)/ruff check .

.PHONY: format
format: ## Format the code
	$(call install,lint)
	@$(BIN)/ruff format .
	@$(BIN)/ruff check --fix .

.PHONY: constraints
constraints: ## Pin the ranges of pyproject.toml to versions that have wheels for all platforms
	$(call install)
	@$(BIN)/python -m tools.constraints make

.PHONY: check-constraints
check-constraints: ## Check that all that is pinned has wheels for all platforms and fits the ranges
	$(call install)
	@$(BIN)/python -m tools.constraints check

.PHONY: clean
clean: ## Remove what the other targets made
	rm -rf $(VENV) build *.egg-info
