# Both targets work in a fresh clone; they need only Python 3.11 or later.

.PHONY: rehearse test types decision-tests process-tests other-tests

# The tests that start processes of their own.
PROCESS_TESTS = tests/fault_injection tests/integration tests/overload tests/testbed

# Play a short rehearsal with real sidecars; the first word of the output is the verdict.
rehearse: .venv/kit.txt
	@.venv/bin/python -m lugtally rehearse run short --html rehearsal.html

# Check format, lint and types, and run all tests.  The first run of pytest only collects: it checks KNOWN-RED.txt against
# all tests.  The type checker, the tests of decisions, which use no sockets and no clock, the tests that start processes and
# the other tests run beside each other: most of them wait for most of their time.
test: .venv/kit.txt
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/python -m pytest --collect-only > .venv/collected.txt || (cat .venv/collected.txt; false)
	$(MAKE) --no-print-directory --jobs 4 --output-sync=target types decision-tests process-tests other-tests

types:
	.venv/bin/mypy

decision-tests:
	.venv/bin/python -m pytest tests/balancing tests/simulator

process-tests:
	.venv/bin/python -m pytest $(PROCESS_TESTS)

other-tests:
	.venv/bin/python -m pytest --ignore=tests/balancing --ignore=tests/simulator $(PROCESS_TESTS:%=--ignore=%) tests

# Create the virtual environment; kit.txt records the pyproject.toml that it was installed from.
.venv/kit.txt: pyproject.toml
	python3 -m venv .venv
	.venv/bin/pip install -q --disable-pip-version-check -e '.[dev]'
	cp pyproject.toml .venv/kit.txt
