# Build, test, lint and run mothknot. `build` is what deploy/balancer.toml runs before every start.
PY = .venv/bin/python
# Not interface.py: compiled, its fields lose the types that the local link's codec decodes by
MODULE = mothknot/policy.py mothknot/records.py

build: .venv/.installed mothknot/.compiled

.venv/.installed: requirements.txt
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch $@

# The decision module is compiled from its typed Python as it stands: the same source, about half the time.
# Without a C compiler, or if it fails, the module runs as it is.
mothknot/.compiled: $(MODULE) Makefile .venv/.installed
	rm -f mothknot/*.so *__mypyc*.so
	(MYPYC_OPT_LEVEL=2 .venv/bin/mypyc $(MODULE) >.venv/mypyc.log 2>&1 \
		&& $(PY) -c 'import mothknot.policy') || rm -f mothknot/*.so *__mypyc*.so
	rm -rf build
	touch $@

# Statements are read a third faster with their inner parts compiled as well; off on the platform, so not in build
STATEMENTS = $(addprefix mothknot/statements/,shape.py lexer.py sketch.py cache.py)
fast: build
	MYPYC_OPT_LEVEL=2 .venv/bin/mypyc $(STATEMENTS) >.venv/mypyc.log 2>&1
	rm -rf build

test:
	.ci/run

lint:
	.venv/bin/ruff check mothknot tests bench example
	.venv/bin/mypy

run: build
	$(PY) -m mothknot

clean:
	rm -rf .venv build mothknot/.compiled mothknot/*.so mothknot/statements/*.so *__mypyc*.so

.PHONY: build fast test lint run clean
