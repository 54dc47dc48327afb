# Two commands: 'make run' and 'make test'.
PYTHON = .venv/bin/python
RUN_READY = .venv/.store-installed
TEST_READY = .venv/.dev-installed

$(PYTHON):
	python3 -m venv .venv

$(RUN_READY): requirements-store.txt requirements.txt pyproject.toml | $(PYTHON)
	$(PYTHON) -m pip -q install -r requirements-store.txt
	$(PYTHON) -m pip -q install --no-deps -e .
	touch $@

$(TEST_READY): requirements-dev.txt requirements-fleet.txt requirements-store.txt requirements.txt | $(PYTHON)
	$(PYTHON) -m pip -q install -r requirements-dev.txt
	touch $@

.PHONY: run test setup
setup: $(RUN_READY)

run: $(RUN_READY)
	exec $(PYTHON) -m harepick --operator deploy/daemon.toml

# Lint, types and tests; KNOWN-RED.txt, if there is one, names the tests that may fail (tests/conftest.py).
test: $(TEST_READY)
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy
	$(PYTHON) -m pytest -q -n 4 -m "not alone and not fleet"
	$(PYTHON) -m pytest -q -n 3 -m fleet
	$(PYTHON) -m pytest -q -m alone
