"""The base class of all error types."""

from __future__ import annotations


class Fault(Exception):
    """An error whose `description` says what was found, and whose type has a `remedy`: what an operator can
    do about it. str() returns both."""

    remedy = ""

    def __init__(self, description: str) -> None:
        super().__init__(description)
        self.description = description

    def __str__(self) -> str:
        return (
            f"{self.description} [{type(self).__name__}: {self.remedy}]" if self.remedy else self.description
        )
