# The newcomer's map: `make try` runs a whole program, `make test` runs all tests.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: try test lint format matrix bench capacity soak

try: .venv
	@$(BIN)/python scripts/try_program.py

test: .venv
	@$(BIN)/python -m pytest -q

lint: .venv
	@$(BIN)/black --check --quiet . || ($(BIN)/black --check . ; exit 1)
	@$(BIN)/ruff check .

format: .venv
	@$(BIN)/ruff check --fix --quiet .
	@$(BIN)/black --quiet .

.venv: .venv/installed

.venv/installed: pyproject.toml constraints.txt
	@test -x $(BIN)/python || $(PYTHON) -m venv .venv
	@$(BIN)/python -m pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	@touch $@

# The fault matrix; SEED=n runs one cell or pair and prints what broke.
matrix: .venv
	@$(BIN)/python -m tests.faults.matrix $(if $(SEED),--seed $(SEED),--write docs/FAULTS.md)

# The fault soak over real processes; SEED=n runs one seed, else SEEDS fresh ones.
soak: .venv
	@$(BIN)/python -m tests.soak.run $(if $(SEED),--seed $(SEED),--seeds $(or $(SEEDS),5))

# The policy against its baselines, in modelled time; takes some minutes.
bench: .venv
	@$(BIN)/python -m egretford.bench.main --write docs/BENCH.md

# The capacity page, from slopes measured on this machine; takes some minutes.
capacity: .venv
	@$(BIN)/python scripts/measure_slopes.py > /dev/null
	@$(BIN)/python scripts/measure_entries.py > /dev/null
	@$(BIN)/python scripts/derive_capacity.py
