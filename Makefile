PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed
PACKAGES := bilberryplank-core bilberryplank bilberryplankctl bilberryplank-testing
RESULTS := build/results

.PHONY: install demo test format lint scenarios soak load clean

install: $(STAMP)

$(STAMP): requirements.txt $(PACKAGES:%=packages/%/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(PACKAGES:%=--editable packages/%)
	touch $@

format: $(STAMP)
	$(BIN)/black --quiet packages platform tools features
	$(BIN)/ruff check --quiet --fix packages platform tools features

lint: $(STAMP)
	$(BIN)/black --check --quiet packages platform tools features
	$(BIN)/ruff check packages platform tools features

test: $(STAMP)
	$(BIN)/python tools/verdict.py

demo: $(STAMP)
	$(BIN)/python -m bilberryplank_testing.demo

scenarios: $(STAMP)
	$(BIN)/python -m behave --format progress3 features

# Real entries under seeded faults from outside; some 25 s a seed.
SEEDS ?= 50
soak: $(STAMP)
	cd platform && PYTHONPATH=. ../$(BIN)/python -m tests.fault_soak --seeds $(SEEDS) --at-once 2

# Bounded: about ten minutes; prints its seeds and figures.
load: $(STAMP)
	$(BIN)/python -m bilberryplank_testing.load --workload rarangi --policy tiered \
		--rate-factor 0.7,2 --seeds 5 --seconds 20 --fault none,straggler,kill

clean:
	rm -rf build
