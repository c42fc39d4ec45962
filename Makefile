# Build, test, lint and run mothknot. `build` is what deploy/balancer.toml runs before every start.
PY = .venv/bin/python
SOURCES = query_gateway tests bench example
# Not the model's events, actions and settings: compiled, their fields lose the types that the IPC codec decodes by
MODULE = $(filter-out %/__init__.py,$(wildcard query_gateway/policy/*.py)) \
	$(addprefix query_gateway/model/,averages.py budgets.py costs.py estimates.py fleet.py forecasts.py gossip.py \
	key_queues.py learning.py records.py request_classes.py state.py units.py workload.py)
COMPILED = query_gateway/*.so query_gateway/*/*.so *__mypyc*.so

build: .venv/.installed query_gateway/.compiled

.venv/.installed: requirements.txt
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch $@

# The decision module is compiled from its typed Python as it stands (docs/capacity.md, "Compilation").
# Without a C compiler, or if it fails, the module runs as it is.
query_gateway/.compiled: $(MODULE) Makefile .venv/.installed
	rm -f $(COMPILED)
	(MYPYC_OPT_LEVEL=2 .venv/bin/mypyc $(MODULE) >.venv/mypyc.log 2>&1 \
		&& $(PY) -c 'import query_gateway.policy.scheduler') || rm -f $(COMPILED)
	rm -rf build
	touch $@

# Compiles the inner parts of reading statements as well; off on the platform, so not in build
STATEMENTS = $(addprefix query_gateway/statements/,normalizer.py lexer.py sketch.py cache.py)
fast: build
	MYPYC_OPT_LEVEL=2 .venv/bin/mypyc $(STATEMENTS) >.venv/mypyc.log 2>&1
	rm -rf build

test:
	.ci/run

format:
	.venv/bin/ruff format $(SOURCES)
	.venv/bin/ruff check --fix $(SOURCES)

lint:
	.venv/bin/ruff format --check $(SOURCES)
	.venv/bin/ruff check $(SOURCES)
	.venv/bin/mypy

run: build
	$(PY) -m query_gateway

clean:
	rm -rf .venv build query_gateway/.compiled $(COMPILED)

.PHONY: build fast test format lint run clean
