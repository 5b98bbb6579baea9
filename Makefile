VENV = .venv
PYTHON = $(VENV)/bin/python
SOURCES = fuchsiacart standins models features tools soak
SEEDS = fresh
JOBS = 2

.PHONY: setup test lint behave format check-model prove-red demo bench commits capacity soak compatibility protos

setup: $(VENV)/ready

$(VENV)/ready: requirements.txt requirements-dev.txt pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $@

test: setup
	$(PYTHON) -m tools.check

lint: setup
	$(PYTHON) -m tools.check lint

behave: setup
	$(PYTHON) -m behave --no-capture --format progress3

format: setup
	$(PYTHON) -m isort --quiet $(SOURCES)
	$(PYTHON) -m black --quiet $(SOURCES)

check-model: setup
	$(PYTHON) -m models.check

prove-red: setup
	$(PYTHON) -m tools.prove_red

demo: setup
	$(PYTHON) -m standins.demo

bench: setup
	$(PYTHON) -m standins.bench

commits: setup
	$(PYTHON) -m standins.commits

capacity: setup
	$(PYTHON) -m tools.capacity

soak: setup
	$(PYTHON) -m soak --jobs=$(JOBS) $(SEEDS)

compatibility: setup
	$(PYTHON) -m tools.compatibility

protos: setup
	$(PYTHON) -m grpc_tools.protoc -I. --python_out=. --grpc_python_out=. fuchsiacart/peering.proto
