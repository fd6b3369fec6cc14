"""
Defines the base class of all errors of the project.

Each package has an ``exceptions`` module whose classes extend `CodedError`. A
layer converts the errors of the layer below into its own.
"""

__all__ = ('CodedError', 'cause_of')

_MOST_CAUSE_CHARACTERS = 160


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


def cause_of(error: Exception) -> str:
    """
    Return what an exception says, cut to the length of a log field.

    Decoders repeat what they could not decode, which others have written.

    >>> cause_of(RecursionError())
    'RecursionError'
    """
    return str(error)[:_MOST_CAUSE_CHARACTERS] or type(error).__name__
