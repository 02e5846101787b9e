PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.DEFAULT_GOAL := help

.PHONY: help
help: ## Show the targets
	@grep -E '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | sed 's/:.*## /\t/' | expand -t 12

$(READY): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	@touch $(READY)

.PHONY: demo
demo: $(READY) ## Run both example deployments on loopback and show what they answer
	@$(BIN)/python -m demo.run

.PHONY: test
test: $(READY) ## Run the tests
	@$(BIN)/nose2 -s tests -t .

FUZZ_SECONDS ?= 60

.PHONY: fuzz
fuzz: $(READY) ## Feed random bytes to all decoders; FUZZ_SECONDS sets how long
	@end=$$(($$(date +%s) + $(FUZZ_SECONDS))); while [ $$(date +%s) -lt $$end ]; do \
		FUZZ_EXAMPLES=2000 $(BIN)/nose2 -s tests -t . tests.test_fuzz tests.test_fuzz_gateway \
		|| exit 1; done

.PHONY: measure
measure: $(READY) ## Run the scenarios with the current and the naive policy
	@$(BIN)/pip install --quiet --editable ".[dev,measure]"
	@$(BIN)/python -m measure.run --output=build/measure.json
	@$(BIN)/python -m measure.plot build/measure.json

.PHONY: experiment
experiment: $(READY) ## Compare policies on the emulator, one table for each file in measure/experiments
	@$(BIN)/python -m measure.experiment measure/experiments/*.toml

.PHONY: model
model: $(READY) ## Prove the specifications of the core protocols and break their mutants
	@$(BIN)/python -m model.check
	@$(BIN)/python -m model.mutants

.PHONY: capacity
capacity: $(READY) ## Measure slopes and regenerate the tables of docs/CAPACITY.md
	@$(BIN)/python -m measure.capacity

.PHONY: capacity-gateway
capacity-gateway: $(READY) ## Regenerate the gateway's table of docs/CAPACITY.md from SWEEP, a journal entry, beside OLDER
	@$(BIN)/python -m measure.sweep_tables $(SWEEP) $(OLDER)

.PHONY: cost
cost: $(READY) ## Measure processor time and memory against a bare loop
	@$(BIN)/python -m measure.cost

SEEDS ?= 3
SECONDS ?= 20
VMS ?= 4
SOAK_FLAGS ?=

.PHONY: soak
soak: $(READY) ## Run the real programs under faults; SEEDS, SECONDS and VMS set the size
	@$(BIN)/python -m soak.run --seeds=$(SEEDS) --seconds=$(SECONDS) --vms=$(VMS) $(SOAK_FLAGS)

.PHONY: soak-regressions
soak-regressions: $(READY) ## Run every seed of the soak that ever failed
	@grep -v '^#' soak/regressions.txt | while read -r options; do \
		$(BIN)/python -m soak.run --seeds=1 $$options || exit 1; done

.PHONY: soak-mutants
soak-mutants: $(READY) ## Show that the soak notices each promise that a mutant breaks
	@$(BIN)/python -m soak.mutants

.PHONY: red
red: $(READY) ## Run the tests that KNOWN-RED.txt lists, and all others
	@RUN_KNOWN_RED=1 $(BIN)/nose2 -s tests -t .

.PHONY: lint
lint: $(READY) ## Check formatting and style
	@$(BIN)/ruff format --check .
	@$(BIN)/ruff check .

.PHONY: format
format: $(READY) ## Format the code
	@$(BIN)/ruff format .
	@$(BIN)/ruff check --fix .

.PHONY: clean
clean: ## Remove what the other targets made
	rm -rf $(VENV) build *.egg-info
