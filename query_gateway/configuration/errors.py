"""The errors of this package. Each message is a single line that names the invalid value and the reason."""


class ConfigurationError(Exception):
    """An error in the configuration or the operator's file; the message is reported as a single line."""


class ConfigurationFileError(ConfigurationError):
    """A file whose path is not set, that cannot be read, or that is not valid JSON or TOML."""


class MissingValueError(ConfigurationError):
    """A required key that is missing."""

    def __init__(self, key: object) -> None:
        """`key` is the name or the path of the missing key."""
        super().__init__(f"{key} is missing")


class InvalidValueError(ConfigurationError):
    """A value of the wrong type or out of range."""


class ContradictionError(ConfigurationError):
    """Values that are valid individually but inconsistent with each other."""


class SettingsError(ConfigurationError):
    """A setting that is missing or cannot be decoded; the message gives its path and value."""
