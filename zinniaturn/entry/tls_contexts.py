"""The keys of an entry: who uses which files, and taking over changed ones."""

__all__ = ('EntryTlsContexts',)

import ssl
from collections.abc import Awaitable, Callable

from zinniaturn.entry.exceptions import AdminInsecureError
from zinniaturn.peers import PeerSecurity
from zinniaturn.peers.credentials import is_loopback
from zinniaturn.settings import EntrySettings
from zinniaturn.tls.contexts import (
    load_pair,
    make_client_context,
    make_server_context,
)
from zinniaturn.tls.files import KeyFiles
from zinniaturn.tls.peer_keys import PeerKeys
from zinniaturn.tls.reloading import KeyReloader, WatchedKeys

Renew = Callable[[PeerSecurity], Awaitable[None]]


class EntryTlsContexts:
    """
    The contexts of an entry's listeners and connections.

    Raises `TlsError` where files cannot be used and `AdminInsecureError` for
    an admin address outside loopback without keys.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self.watched: list[WatchedKeys] = []
        self.admin: ssl.SSLContext | None = None
        self.callers: ssl.SSLContext | None = None
        self.backends: ssl.SSLContext | None = None
        self.peers: PeerKeys | None = None
        self.renew_peers: Renew | None = None
        self._add_internal(settings)
        self._add_callers(settings)
        self._add_backends(settings)
        if self.admin is None and not is_loopback(settings.admin_host):
            raise AdminInsecureError(
                f'the admin address {settings.admin_host} is not on loopback '
                'and there are no keys; set --tls-certificate, --tls-key and '
                '--tls-authority',
            )

    def peer_security(self) -> PeerSecurity:
        """Return the credentials of connections between entries."""
        return self.peers.security() if self.peers else PeerSecurity()

    def reloader(self, seconds: float) -> KeyReloader:
        """Return what takes changed files over."""
        return KeyReloader(self.watched, seconds)

    def _add_internal(self, settings: EntrySettings) -> None:
        if not settings.tls_certificate:
            return
        files = KeyFiles(
            settings.tls_certificate,
            settings.tls_key,
            settings.tls_authority,
        )
        self.admin = make_server_context(files)
        self.peers = PeerKeys(files, settings.tls_peer_name)
        self._watch(self.admin, files)

    def _add_callers(self, settings: EntrySettings) -> None:
        if not settings.caller_tls_certificate:
            return
        files = KeyFiles(
            settings.caller_tls_certificate,
            settings.caller_tls_key,
            settings.caller_tls_authority,
        )
        self.callers = make_server_context(files)
        self._watch(self.callers, files)

    def _add_backends(self, settings: EntrySettings) -> None:
        if not settings.backend_tls_authority:
            return
        files = KeyFiles(
            settings.backend_tls_certificate,
            settings.backend_tls_key,
            settings.backend_tls_authority,
        )
        self.backends = make_client_context(files)
        self._watch(self.backends, files)

    def _watch(self, context: ssl.SSLContext, files: KeyFiles) -> None:
        async def apply() -> None:
            load_pair(context, files)
            if context is self.admin and self.peers is not None:
                self.peers.read()
                if self.renew_peers is not None:
                    await self.renew_peers(self.peers.security())

        self.watched.append(WatchedKeys(files, apply))
