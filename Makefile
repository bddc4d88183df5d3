# Build, test, lint and run. `make` alone builds.
PYTHON = .venv/bin/python

# Installs only what is not there yet, and compiles the package, for a fresh checkout has no caches.
build:
	python3 tools/pins.py --install fleet dev

test: build
	$(PYTHON) -m pytest -n 6 -m "not stage" --pass-over=KNOWN-RED.txt
	$(PYTHON) -m pytest -n 2 -m stage --pass-over=KNOWN-RED.txt

lint: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy
	.venv/bin/lint-imports --no-cache --no-logo
	$(PYTHON) tools/lint_exceptions.py --check

# The example: a toy destination in one terminal, the courier in another.
toy: build
	$(PYTHON) examples/toy_partner.py

run: build
	$(PYTHON) -m pinspread serve --app examples/booking.toml

# Twenty seconds of traffic to three stand-in destinations, one of which goes down.
demo: build
	$(PYTHON) -m pinspread demo

# The smallest experiment of the model of the fleet.
smoke: build
	$(PYTHON) -m pinspread fleet run experiments/smoke.toml --out found/smoke

# What the bench wants beside the site files of deploy/sites, from the kit; none of it is the project's own.
KIT = ../given/kit
sites:
	install -m 644 $(KIT)/more/mass/other/real.json $(KIT)/more/mass/other/wire.json \
		$(KIT)/more/mass/other/unlock.txt deploy/sites

.PHONY: build test lint toy run demo smoke sites
