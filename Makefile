PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed
PACKAGES := bilberryplank-core bilberryplank bilberryplankctl bilberryplank-testing
RESULTS := build/results

.PHONY: install demo test format lint unit scenarios verdict soak measure clean

install: $(STAMP)

$(STAMP): requirements.txt $(PACKAGES:%=packages/%/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(PACKAGES:%=--editable packages/%)
	touch $@

format: $(STAMP)
	$(BIN)/black --quiet packages tools features
	$(BIN)/ruff check --quiet --fix packages tools features

lint: $(STAMP)
	$(BIN)/black --check --quiet packages tools features
	$(BIN)/ruff check packages tools features

test: $(STAMP)
	$(BIN)/python tools/verdict.py

demo: $(STAMP)
	$(BIN)/python -m bilberryplank_testing.demo

clean:
	rm -rf build
