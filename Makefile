# Set-up, demo and tests. VENV may name an environment that exists already.
PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.zinniaturn-installed
FEATURES ?= features

.PHONY: setup demo test format lint types features lock generate clean

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[develop]'
	touch $(STAMP)

demo: setup
	$(BIN)/zinniaturn demo

test: lint types features

format: setup
	$(BIN)/ruff format zinniaturn features
	$(BIN)/ruff check --fix zinniaturn features

lint: setup
	$(BIN)/ruff format --check zinniaturn features
	$(BIN)/ruff check zinniaturn features
	$(BIN)/flake8 --jobs 4 zinniaturn features

types: setup
	$(BIN)/mypy

features: setup
	$(BIN)/python -m features.run $(FEATURES)

generate: setup
	$(BIN)/python -m grpc_tools.protoc --proto_path=. --python_out=. \
		--grpc_python_out=. --mypy_out=quiet:. zinniaturn/peers/messages.proto

lock: setup
	$(BIN)/pip freeze --exclude-editable > constraints.txt

clean:
	rm -rf build dist out
