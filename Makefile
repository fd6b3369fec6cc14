# Set-up, demo and tests. VENV may name an environment that exists already.
PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.zinniaturn-installed
FEATURES ?= features
CODE = zinniaturn features packaging

.PHONY: setup demo test format lint types features binary lock generate clean

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[develop]'
	touch $(STAMP)

demo: setup
	$(BIN)/zinniaturn demo

test: lint types features

format: setup
	$(BIN)/ruff format $(CODE)
	$(BIN)/ruff check --fix $(CODE)

lint: setup
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/ruff check $(CODE)
	$(BIN)/flake8 --jobs 4 $(CODE)

types: setup
	$(BIN)/mypy

features: setup
	$(BIN)/python -m features.run $(FEATURES)

generate: setup
	$(BIN)/python -m grpc_tools.protoc --proto_path=. --python_out=. \
		--grpc_python_out=. --mypy_out=quiet:. zinniaturn/peers/messages.proto

binary: setup
	$(BIN)/python packaging/build.py dist/zinniaturn

lock: setup
	$(BIN)/pip freeze --exclude-editable > constraints.txt

clean:
	rm -rf build dist out
