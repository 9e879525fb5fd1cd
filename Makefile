# Two commands, each complete on a fresh clone with Python 3.11 or later alone.

.PHONY: rehearse test

# Plays a short rehearsal with the real sidecar; the first word printed is its verdict.
rehearse: .venv/kit.txt
	@.venv/bin/python -m lugtally rehearse run short --html rehearsal.html

# Format, lint, types and all tests.
test: .venv/kit.txt
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy
	.venv/bin/python -m pytest

.venv/kit.txt: pyproject.toml
	python3 -m venv .venv
	.venv/bin/pip install -q --disable-pip-version-check -e '.[dev]'
	cp pyproject.toml .venv/kit.txt
