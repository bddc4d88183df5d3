# Build, test, lint and run. `make` alone builds.
PYTHON = .venv/bin/python

build: .venv/installed.txt

.venv/installed.txt: requirements.txt
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	cp requirements.txt .venv/installed.txt

test: build
	$(PYTHON) -m pytest

lint: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .

# The example: a toy partner in one terminal, the courier in another.
toy: build
	$(PYTHON) examples/toy_partner.py

run: build
	$(PYTHON) -m pinspread serve --app examples/booking.toml

.PHONY: build test lint toy run
