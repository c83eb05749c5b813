VENV ?= .venv
PYTHON ?= python3.11
BIN = $(VENV)/bin

.PHONY: demo test format lint types behave clean

$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m guavadyke demo

test: format lint types behave

format: $(VENV)/.installed
	$(BIN)/python -m ruff format --check guavadyke features

lint: $(VENV)/.installed
	$(BIN)/python -m ruff check guavadyke features
	$(BIN)/python -m flake8 guavadyke features

types: $(VENV)/.installed
	$(BIN)/python -m mypy

behave: $(VENV)/.installed
	$(BIN)/python -m features.run

clean:
	rm -rf $(VENV) build *.egg-info
