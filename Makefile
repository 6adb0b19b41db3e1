# Every target installs its own requirements; a new machine needs only Python 3.11, pip and make.
PYTHON := python3
BIN := .venv/bin
QUICK ?= 0
EXAMPLE := examples/empresa
PACKAGES := core configuration entry operator standins bench platform

.PHONY: demo site test lint bench format lock messages

.venv/.ready: requirements.lock pyproject.toml $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check uv==0.13.9
	$(BIN)/uv pip install --quiet --python $(BIN)/python -r requirements.lock
	touch $@

demo: .venv/.ready
	$(BIN)/python -m fuchsiaspread_standins.demo

# Runs the site of an example on loopback until interrupted.
site: .venv/.ready
	$(BIN)/python -m fuchsiaspread_standins.site_runner $(EXAMPLE)

test: .venv/.ready
	$(BIN)/python tools/run_tests.py $(PACKAGES)

lint: .venv/.ready
	$(BIN)/black --quiet --check packages platform tools
	$(BIN)/ruff check --quiet packages platform tools
	$(BIN)/lint-imports --no-cache

bench: .venv/.ready
	QUICK=$(QUICK) $(BIN)/python -m fuchsiaspread_bench

format: .venv/.ready
	$(BIN)/black --quiet packages platform tools
	$(BIN)/ruff check --quiet --fix packages platform tools
	$(BIN)/black --quiet packages platform tools

# The exported lock file lists each package with its hashes and without a registry host.
lock:
	$(BIN)/uv lock --quiet
	$(BIN)/uv export --quiet --all-packages --format requirements-txt --no-header \
		--no-annotate --output-file requirements.lock

# Generates the message code for the protocol between entry VMs; the result is committed.
messages: .venv/.ready
	cd packages/entry/src && ../../../$(BIN)/python -m grpc_tools.protoc -I . \
		--python_out=. --pyi_out=. --grpclib_python_out=. \
		--plugin=protoc-gen-grpclib_python=../../../$(BIN)/protoc-gen-grpclib_python \
		fuchsiaspread_entry/messages/peer.proto
