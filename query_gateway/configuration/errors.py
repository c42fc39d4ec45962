"""The errors of this package, under one base. Each says in one line which value is wrong, and how."""


class ConfigurationError(Exception):
    """A fault of the configuration or of the operator's file; its text is the one line that is reported."""


class ConfigurationFileError(ConfigurationError):
    """A file that is not named, cannot be read, or is not JSON or TOML."""


class MissingValueError(ConfigurationError):
    """A key that must be there and is not."""

    def __init__(self, key: object) -> None:
        """`key`: the name or the path of what is missing."""
        super().__init__(f"{key} is missing")


class InvalidValueError(ConfigurationError):
    """A value of the wrong type or out of its range."""


class ContradictionError(ConfigurationError):
    """Values that are valid each alone and do not go together."""


class SettingsError(ConfigurationError):
    """A setting that is missing or cannot be decoded; names its path and its value."""
