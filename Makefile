# Two commands: 'make run' and 'make test'.
PYTHON = .venv/bin/python
SET_UP = .venv/.store-installed

$(SET_UP): requirements-store.txt requirements.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv .venv
	$(PYTHON) -m pip -q install -r requirements-store.txt
	$(PYTHON) -m pip -q install --no-deps -e .
	touch $@

.PHONY: run test setup
setup: $(SET_UP)

run: $(SET_UP)
	exec $(PYTHON) -m harepick --operator deploy/daemon.toml

test:
	bash .ci/run
