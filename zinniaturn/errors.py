"""
The base of every layer's errors.

Each layer has an ``exceptions`` module whose classes extend `CodedError`. A
layer turns the errors of the layer below into its own.
"""

__all__ = ('CodedError',)


class CodedError(Exception):
    """
    An error with a stable code that the documentation explains.

    Parameters are the sentence for people and, if it differs from the class's
    own, the code for programs, such as ``table-invalid``.
    """

    code = 'internal'

    def __init__(self, message: str, code: str | None = None) -> None:
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code

    def __str__(self) -> str:
        """Return the code and the sentence."""
        return f'{self.code}: {self.message}'
