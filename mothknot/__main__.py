"""The real gateway: reads its configuration, wires the parts up, and runs until it is told to stop."""

import gc
import os
import sys

from mothknot.config import BadConfig, read, read_operator
from mothknot.gateway import Gateway


def main() -> None:
    try:
        config = read(os.environ)
        gateway = Gateway(config, read_operator(os.environ, config))
    except BadConfig as bad:
        print(f"mothknot: configuration: {bad}", file=sys.stderr)
        sys.exit(2)
    except OSError as bad:
        print(f"mothknot: cannot listen: {bad.strerror}", file=sys.stderr)
        sys.exit(2)
    gc.freeze()  # what the start made stays; later collections pass it over
    gateway.run()


if __name__ == "__main__":
    main()
