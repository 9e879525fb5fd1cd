# Both targets work in a fresh clone; they need only Python 3.11 or later.

.PHONY: rehearse test

# Play a short rehearsal with real sidecars; the first word of the output is the verdict.
rehearse: .venv/kit.txt
	@.venv/bin/python -m lugtally rehearse run short --html rehearsal.html

# Check format, lint and types, and run all tests.
test: .venv/kit.txt
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy
	.venv/bin/python -m pytest

# Create the virtual environment; kit.txt records the pyproject.toml that it was installed from.
.venv/kit.txt: pyproject.toml
	python3 -m venv .venv
	.venv/bin/pip install -q --disable-pip-version-check -e '.[dev]'
	cp pyproject.toml .venv/kit.txt
