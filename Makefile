# Each target sets up what it needs in .venv, from the package index as configured.
PY := .venv/bin/python
SOURCES := core daemon cli fakes spec measure platform test
# Processes that run the tests; those on wall time share one (test/conftest.py).
TEST_WORKERS := 4

.PHONY: demo test lint check-model measure clean

.venv/ready: constraints.txt core/pyproject.toml daemon/pyproject.toml cli/pyproject.toml fakes/pyproject.toml
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip install -q -c constraints.txt setuptools wheel
	$(PY) -m pip install -q --no-build-isolation -c constraints.txt \
		-e core -e daemon -e fakes -e cli \
		pytest pytest-xdist hypothesis minicheck black ruff mypy numpy scipy
	touch $@

.venv/ready-measure: .venv/ready
	$(PY) -m pip install -q -c constraints.txt matplotlib psutil
	touch $@

demo: .venv/ready
	.venv/bin/minttide demo

test: .venv/ready
	$(PY) -m pytest -n $(TEST_WORKERS) --dist loadscope

lint: .venv/ready
	$(PY) -m black -q --check $(SOURCES)
	$(PY) -m ruff check -q $(SOURCES)
	$(PY) -m mypy

check-model: .venv/ready
	$(PY) -m spec

measure: .venv/ready-measure
	$(PY) -m measure
	$(PY) -m measure.publish
	$(PY) -m measure.joining
	$(PY) -m measure.slopes
	$(PY) -m measure.capacity
	$(PY) -m measure.plots

clean:
	rm -rf .venv build out
