"""
The catalogue of log events.

Each has a number that never changes its meaning; ``docs/EVENTS.md`` explains
each to operators.
"""

__all__ = ('EVENTS', 'LogEvent')

import enum
import logging
from collections.abc import Mapping
from types import MappingProxyType


class LogEvent(enum.IntEnum):
    """The numbers of the events, by subsystem in hundreds."""

    ENTRY_STARTED = 100
    ENTRY_READY = 101
    ENTRY_DRAINING = 102
    ENTRY_STOPPED = 103
    ENTRY_FORCED = 105
    VARIABLE_UNKNOWN = 104
    REQUEST_FAILED = 110
    REVISION_INSTALLED = 200
    REVISION_REFUSED = 201
    STORE_UNAVAILABLE = 202
    STORE_BACK = 203
    STORE_RESET = 204
    REVISION_FORKED = 205
    REPORTER_STARTED = 300
    PEERS_LISTEN = 305
    REPORTER_ENDED = 301
    VM_LIST_UNAVAILABLE = 302
    VM_LIST_DOUBTED = 303
    PEER_REFUSED = 304
    KEYS_RELOADED = 600
    KEYS_REFUSED = 601
    KEYS_EXPIRE_SOON = 602
    CONNECTION_CLOSED = 610
    DESCRIPTORS_FEW = 611
    GATEWAY_STARTED = 700
    GATEWAY_READY = 701
    GATEWAY_STOPPING = 702
    GATEWAY_STOPPED = 703
    SETTINGS_RELOADED = 704
    SETTINGS_REFUSED = 705
    GATEWAY_FAULT = 706
    REQUEST_ENDED = 710
    TABLES_IN_FORCE = 720
    TABLES_REFUSED = 721
    SERVERS_CHANGED = 722
    SERVERS_UNREADABLE = 723
    FLEET_STORE_LOST = 724
    FLEET_STORE_BACK = 725
    SERVER_OUT = 730
    VM_ALIVE = 740
    VM_SILENT = 741
    VM_MESSAGE_REFUSED = 742


_INFO = logging.INFO
_WARNING = logging.WARNING

EVENTS: Mapping[LogEvent, tuple[int, str]] = MappingProxyType(
    {
        LogEvent.ENTRY_STARTED: (_INFO, 'the entry listens'),
        LogEvent.ENTRY_READY: (
            _INFO,
            'the entry has tables and takes requests',
        ),
        LogEvent.ENTRY_DRAINING: (_INFO, 'the entry was told to stop'),
        LogEvent.ENTRY_STOPPED: (_INFO, 'the entry served its last request'),
        LogEvent.VARIABLE_UNKNOWN: (
            _WARNING,
            'an environment variable is unknown',
        ),
        LogEvent.ENTRY_FORCED: (
            _WARNING,
            'the entry was told to cut its requests off',
        ),
        LogEvent.REQUEST_FAILED: (
            logging.ERROR,
            'a request ended in a fault of the entry',
        ),
        LogEvent.REVISION_INSTALLED: (
            _INFO,
            'a revision of the tables is in force',
        ),
        LogEvent.REVISION_REFUSED: (
            _WARNING,
            'the store offered an older or invalid revision',
        ),
        LogEvent.STORE_UNAVAILABLE: (_WARNING, 'the store does not answer'),
        LogEvent.STORE_RESET: (
            _WARNING,
            'the store has lost accepted revisions and was fenced',
        ),
        LogEvent.STORE_BACK: (_INFO, 'the store answers again'),
        LogEvent.REVISION_FORKED: (
            _WARNING,
            'a peer holds another history of the tables',
        ),
        LogEvent.PEERS_LISTEN: (_INFO, 'the entry listens for its peers'),
        LogEvent.REPORTER_STARTED: (
            _INFO,
            'the entry reports its data centre to the store',
        ),
        LogEvent.REPORTER_ENDED: (
            _WARNING,
            'the entry gave up reporting to another one',
        ),
        LogEvent.VM_LIST_UNAVAILABLE: (
            _WARNING,
            'the VM list does not answer',
        ),
        LogEvent.VM_LIST_DOUBTED: (
            _WARNING,
            'the VM list says that most VMs are leaving and is not believed',
        ),
        LogEvent.PEER_REFUSED: (
            _WARNING,
            'a peer sent something that cannot be read',
        ),
        LogEvent.KEYS_RELOADED: (_INFO, 'changed key files are in use'),
        LogEvent.KEYS_REFUSED: (
            _WARNING,
            'changed key files cannot be used; the old keys stay in use',
        ),
        LogEvent.KEYS_EXPIRE_SOON: (
            _WARNING,
            'a certificate expires within a week',
        ),
        LogEvent.CONNECTION_CLOSED: (
            _WARNING,
            "a limit closed a caller's connection",
        ),
        LogEvent.DESCRIPTORS_FEW: (
            _WARNING,
            'the limit on open files allows fewer connections than wanted',
        ),
        LogEvent.GATEWAY_STARTED: (_INFO, 'the gateway process listens'),
        LogEvent.GATEWAY_READY: (
            _INFO,
            'the gateway process has tables and takes requests',
        ),
        LogEvent.GATEWAY_STOPPING: (
            _INFO,
            'the gateway process was told to stop',
        ),
        LogEvent.GATEWAY_STOPPED: (_INFO, 'the gateway process has stopped'),
        LogEvent.SETTINGS_RELOADED: (_INFO, 'changed settings are in use'),
        LogEvent.SETTINGS_REFUSED: (
            _WARNING,
            'changed settings cannot be used; the old ones stay in use',
        ),
        LogEvent.GATEWAY_FAULT: (
            logging.ERROR,
            'a part of the gateway process failed and goes on',
        ),
        LogEvent.REQUEST_ENDED: (_INFO, 'a request of a caller has ended'),
        LogEvent.TABLES_IN_FORCE: (_INFO, 'newer tables are in force'),
        LogEvent.TABLES_REFUSED: (
            _WARNING,
            'the tables in the store cannot be used; the old ones stay',
        ),
        LogEvent.SERVERS_CHANGED: (
            _INFO,
            'backend servers have joined, are leaving or are gone',
        ),
        LogEvent.SERVERS_UNREADABLE: (
            _WARNING,
            'entries of backend servers cannot be read',
        ),
        LogEvent.FLEET_STORE_LOST: (
            _WARNING,
            'the store gives this VM no usable reply',
        ),
        LogEvent.FLEET_STORE_BACK: (
            _INFO,
            'the store answers this VM again',
        ),
        LogEvent.SERVER_OUT: (
            _WARNING,
            'a failing backend server is left out for a while',
        ),
        LogEvent.VM_ALIVE: (_INFO, 'another VM is heard'),
        LogEvent.VM_SILENT: (_WARNING, 'another VM is not heard any more'),
        LogEvent.VM_MESSAGE_REFUSED: (
            _WARNING,
            'a message of another VM cannot be used',
        ),
    }
)
