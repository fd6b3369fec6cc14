"""
Defines the base class of all errors of the project.

Each package has an ``exceptions`` module whose classes extend `CodedError`. A
layer converts the errors of the layer below into its own.
"""

__all__ = ('CodedError',)


class CodedError(Exception):
    """
    An error with a stable code that the documentation explains.

    ``message`` is the text for people. ``code``, such as ``table-invalid``, is
    for programs and defaults to the code of the class.
    """

    code = 'internal'

    def __init__(self, message: str, code: str | None = None) -> None:
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code

    def __str__(self) -> str:
        """Return the code and the message."""
        return f'{self.code}: {self.message}'
