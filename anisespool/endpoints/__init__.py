"""Connections to endpoints: per-endpoint pools, and the attempts sent over them."""

from anisespool.endpoints.attempt import Attempt
from anisespool.endpoints.endpoints import Endpoints

__all__ = ["Attempt", "Endpoints"]
