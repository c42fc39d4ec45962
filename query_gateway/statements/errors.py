"""The exceptions of this package. Their messages are sent to the client as the reason of a rejection."""


class StatementError(Exception):
    """Base class: a property of a statement cannot be determined; the message is the reason."""


class UnsupportedStatementError(StatementError):
    """A statement that two lexers may tokenize differently, or that exceeds a size limit."""


class UnparsedStatementError(StatementError):
    """A statement that cannot be parsed as exactly one statement."""


class NotReadOnlyError(StatementError):
    """A statement that cannot be shown to write nothing."""


class UndeterminedKeyError(StatementError):
    """A load, or a value in it, for which no key can be determined."""


class NoKeyRuleError(UndeterminedKeyError):
    """No key rule covers the table that is written."""
