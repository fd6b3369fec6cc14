"""
Defines the log events with their numbers, levels and texts.

The meaning of a number never changes. ``docs/EVENTS.md`` explains each event
to operators.
"""

__all__ = ('EVENTS', 'LogEvent')

import enum
import logging
from collections.abc import Mapping
from types import MappingProxyType


class LogEvent(enum.IntEnum):
    """The numbers of the events; each hundred is one subsystem."""

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
    STORE_WENT_BACK = 726
    SERVER_OUT = 730
    SERVER_STATEMENT = 731
    SERVER_STATEMENT_UNREADABLE = 732
    BODIES_REFUSED = 733
    CLIENTS_GAVE_WAY = 734
    OVER_ALLOWANCE = 735
    VM_ALIVE = 740
    VM_SILENT = 741
    VM_MESSAGE_REFUSED = 742
    LOOKUPS_CHANGED = 743
    POOL_SILENT = 750
    POOL_RESPONDS = 751
    PATH_LOST = 752
    PATH_RESTORED = 753
    CONNECTION_BROKEN = 760
    REQUEST_SUSPECTED = 761
    REQUEST_HELD = 762
    REQUEST_CLEARED = 763
    TABLES_TOO_OLD = 770
    TABLES_PROVEN = 771
    DATA_CENTRES_EVACUATED = 780
    DATA_CENTRES_RETURNED = 781
    LEAVING_CHANGED = 790
    LOCALITY_SWITCHED = 791


_INFO = logging.INFO
_WARNING = logging.WARNING

EVENTS: Mapping[LogEvent, tuple[int, str]] = MappingProxyType(
    {
        LogEvent.ENTRY_STARTED: (_INFO, 'the entry is listening'),
        LogEvent.ENTRY_READY: (
            _INFO,
            'the entry has loaded its tables and accepts requests',
        ),
        LogEvent.ENTRY_DRAINING: (
            _INFO,
            'the entry is draining: graceful shutdown has begun',
        ),
        LogEvent.ENTRY_STOPPED: (
            _INFO,
            'the entry has finished its last request and stopped',
        ),
        LogEvent.VARIABLE_UNKNOWN: (
            _WARNING,
            'unknown environment variable',
        ),
        LogEvent.ENTRY_FORCED: (
            _WARNING,
            'the entry is closing all connections on a forced shutdown',
        ),
        LogEvent.REQUEST_FAILED: (
            logging.ERROR,
            'a request failed with an internal error of the entry',
        ),
        LogEvent.REVISION_INSTALLED: (
            _INFO,
            'a revision of the tables was installed',
        ),
        LogEvent.REVISION_REFUSED: (
            _WARNING,
            'rejected an invalid revision from the store',
        ),
        LogEvent.STORE_UNAVAILABLE: (_WARNING, 'the store does not respond'),
        LogEvent.STORE_RESET: (
            _WARNING,
            'the store has lost accepted revisions and was fenced',
        ),
        LogEvent.STORE_BACK: (_INFO, 'the store responds again'),
        LogEvent.REVISION_FORKED: (
            _WARNING,
            'a peer has a diverging history of the tables',
        ),
        LogEvent.PEERS_LISTEN: (_INFO, 'the entry is listening for its peers'),
        LogEvent.REPORTER_STARTED: (
            _INFO,
            'the entry reports its data centre to the store',
        ),
        LogEvent.REPORTER_ENDED: (
            _WARNING,
            'another entry has taken over reporting to the store',
        ),
        LogEvent.VM_LIST_UNAVAILABLE: (
            _WARNING,
            'the VM list does not respond',
        ),
        LogEvent.VM_LIST_DOUBTED: (
            _WARNING,
            'ignored a VM list that marks most VMs as leaving',
        ),
        LogEvent.PEER_REFUSED: (
            _WARNING,
            'rejected an invalid message from a peer',
        ),
        LogEvent.KEYS_RELOADED: (_INFO, 'changed key files were loaded'),
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
            "closed a caller's connection that exceeded a limit",
        ),
        LogEvent.DESCRIPTORS_FEW: (
            _WARNING,
            'the limit on open files allows fewer connections than configured',
        ),
        LogEvent.GATEWAY_STARTED: (_INFO, 'the gateway process is listening'),
        LogEvent.GATEWAY_READY: (
            _INFO,
            'the gateway process has loaded its tables and accepts requests',
        ),
        LogEvent.GATEWAY_STOPPING: (
            _INFO,
            'the gateway process has begun its graceful shutdown',
        ),
        LogEvent.GATEWAY_STOPPED: (_INFO, 'the gateway process has stopped'),
        LogEvent.SETTINGS_RELOADED: (_INFO, 'changed settings were loaded'),
        LogEvent.SETTINGS_REFUSED: (
            _WARNING,
            'changed settings cannot be used; the old ones stay in use',
        ),
        LogEvent.GATEWAY_FAULT: (
            logging.ERROR,
            'unexpected exception in the gateway process; it keeps running',
        ),
        LogEvent.REQUEST_ENDED: (_INFO, "a caller's request has ended"),
        LogEvent.TABLES_IN_FORCE: (_INFO, 'newer tables were installed'),
        LogEvent.TABLES_REFUSED: (
            _WARNING,
            'the tables in the store cannot be used; the old ones stay in use',
        ),
        LogEvent.SERVERS_CHANGED: (
            _INFO,
            'backend servers have joined, are leaving or are gone',
        ),
        LogEvent.SERVERS_UNREADABLE: (
            _WARNING,
            'records of backend servers in the store cannot be decoded',
        ),
        LogEvent.FLEET_STORE_LOST: (
            _WARNING,
            'the store gives this VM no usable response',
        ),
        LogEvent.FLEET_STORE_BACK: (
            _INFO,
            'the store responds to this VM again',
        ),
        LogEvent.STORE_WENT_BACK: (
            _WARNING,
            'the store came back from an older copy',
        ),
        LogEvent.SERVER_OUT: (
            _WARNING,
            'a failing backend server was ejected for a limited time',
        ),
        LogEvent.OVER_ALLOWANCE: (
            _INFO,
            'requests of a tenant were rejected as its allowance is used up',
        ),
        LogEvent.SERVER_STATEMENT: (
            _INFO,
            'a backend server has named, changed or ended a limit, its '
            'leaving, a pause or a warm-up',
        ),
        LogEvent.SERVER_STATEMENT_UNREADABLE: (
            _WARNING,
            'what a backend server says of itself cannot be decoded',
        ),
        LogEvent.BODIES_REFUSED: (
            _WARNING,
            'bodies were refused as too many bytes were being received',
        ),
        LogEvent.CLIENTS_GAVE_WAY: (
            _WARNING,
            'clients were refused, closed or held back, as they took too much',
        ),
        LogEvent.VM_ALIVE: (_INFO, 'other VMs are known to be alive'),
        LogEvent.VM_SILENT: (
            _WARNING,
            'other VMs no longer respond',
        ),
        LogEvent.VM_MESSAGE_REFUSED: (
            _WARNING,
            'rejected an unusable message from another VM',
        ),
        LogEvent.LOOKUPS_CHANGED: (
            _INFO,
            'look-ups return other VMs than before',
        ),
        LogEvent.POOL_SILENT: (
            _WARNING,
            'no backend server of a pool responds to this VM',
        ),
        LogEvent.POOL_RESPONDS: (
            _INFO,
            'a backend server of the pool responds to this VM again',
        ),
        LogEvent.PATH_LOST: (
            _WARNING,
            'this VM has lost its path to a pool and passes its requests on',
        ),
        LogEvent.PATH_RESTORED: (
            _INFO,
            'this VM has its path to a pool back',
        ),
        LogEvent.CONNECTION_BROKEN: (
            _WARNING,
            'the connection to a backend server broke while it ran a request',
        ),
        LogEvent.REQUEST_SUSPECTED: (
            _WARNING,
            'several backend servers ended while they ran copies of a request',
        ),
        LogEvent.REQUEST_HELD: (
            _WARNING,
            'a request ends the servers that run it; its copies are rejected',
        ),
        LogEvent.REQUEST_CLEARED: (
            _INFO,
            'a request that was suspected or held may run again',
        ),
        LogEvent.TABLES_TOO_OLD: (
            _WARNING,
            "keys may have been withdrawn; tenants' requests are rejected",
        ),
        LogEvent.TABLES_PROVEN: (
            _INFO,
            "the tables are the store's newest; tenants are served again",
        ),
        LogEvent.DATA_CENTRES_EVACUATED: (
            _WARNING,
            'the servers of evacuated data centres get no more requests',
        ),
        LogEvent.DATA_CENTRES_RETURNED: (
            _INFO,
            'the servers of data centres get requests again',
        ),
        LogEvent.LEAVING_CHANGED: (
            _INFO,
            'another share of the requests leaves this data centre',
        ),
        LogEvent.LOCALITY_SWITCHED: (
            _INFO,
            'data centres are or are not taken into account',
        ),
    }
)
