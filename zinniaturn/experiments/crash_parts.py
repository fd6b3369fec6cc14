"""The servers and requests of the model of requests that end servers."""

__all__ = ('GuiltySend', 'ModelRequest', 'ModelServer')

from dataclasses import dataclass, field

from zinniaturn.experiments.gossip_model import ModelVm
from zinniaturn.quarantine.crash_record import ServerProcess
from zinniaturn.quarantine.request_key import RequestKey


@dataclass(slots=True)
class ModelServer:
    """A server; ``starts`` counts its processes, ``running`` its requests."""

    name: str
    is_up: bool = True
    starts: int = 1
    running: 'dict[ModelRequest, ModelVm]' = field(default_factory=dict)
    responded_at: dict[str, float] = field(default_factory=dict)

    @property
    def process(self) -> ServerProcess:
        """Return the present process."""
        return ServerProcess(self.name, self.starts)


@dataclass(eq=False, slots=True)
class ModelRequest:
    """One copy of a request at one VM, with the servers it was sent to."""

    key: RequestKey
    tried: list[str] = field(default_factory=list)
    returns: int = 0


@dataclass(frozen=True, slots=True)
class GuiltySend:
    """A guilty request that was sent to a server."""

    key: RequestKey
    vm: str
    at: float
