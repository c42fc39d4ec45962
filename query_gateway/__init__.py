"""The gateway for query engines; `docs/architecture.md` tells what its packages hold."""
