"""The errors of this package. Their messages are reasons in words, which reach the client."""


class StatementError(Exception):
    """Something about a statement cannot be decided; the message is the reason."""


class UnsupportedStatementError(StatementError):
    """A text that two lexers may read differently, or that is beyond the bounds."""


class UnparsedStatementError(StatementError):
    """A statement that cannot be parsed as exactly one statement."""


class NotReadOnlyError(StatementError):
    """A statement that cannot be shown to write nothing."""


class UndeterminedKeyError(StatementError):
    """A load, or a value in it, for which no key can be given."""


class NoKeyRuleError(UndeterminedKeyError):
    """No rule covers the table that is written."""
