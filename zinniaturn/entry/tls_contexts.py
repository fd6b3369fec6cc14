"""The TLS contexts of an entry, and reloading their files on change."""

__all__ = ('EntryTlsContexts',)

import ssl
from collections.abc import Awaitable, Callable

from zinniaturn.entry.exceptions import AdminInsecureError
from zinniaturn.peers import PeerSecurity
from zinniaturn.peers.credentials import is_loopback
from zinniaturn.settings import EntrySettings
from zinniaturn.tls.contexts import (
    load_key_pair,
    make_client_context,
    make_server_context,
)
from zinniaturn.tls.files import KeyFiles
from zinniaturn.tls.peer_keys import PeerKeys
from zinniaturn.tls.reloader import TlsFileReloader, WatchedKeyFiles

Renew = Callable[[PeerSecurity], Awaitable[None]]


class EntryTlsContexts:
    """
    The TLS contexts of an entry's listeners and connections.

    Raises `TlsError` if files cannot be used and `AdminInsecureError` if the
    admin address is not on loopback and has no TLS key.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self.watched: list[WatchedKeyFiles] = []
        self.admin_context: ssl.SSLContext | None = None
        self.caller_context: ssl.SSLContext | None = None
        self.backend_context: ssl.SSLContext | None = None
        self.peer_keys: PeerKeys | None = None
        self.renew_peer_security: Renew | None = None
        self._add_internal(settings)
        self._add_callers(settings)
        self._add_backends(settings)
        if self.admin_context is None and not is_loopback(settings.admin_host):
            raise AdminInsecureError(
                f'the admin address {settings.admin_host} is not on loopback '
                'and there are no keys; set --tls-certificate, --tls-key and '
                '--tls-authority',
            )

    def peer_security(self) -> PeerSecurity:
        """Return the credentials of connections between entries."""
        return self.peer_keys.security() if self.peer_keys else PeerSecurity()

    def reloader(self, seconds: float) -> TlsFileReloader:
        """Return the component that reloads changed files."""
        return TlsFileReloader(self.watched, seconds)

    def _add_internal(self, settings: EntrySettings) -> None:
        if not settings.tls_certificate:
            return
        files = KeyFiles(
            settings.tls_certificate,
            settings.tls_key,
            settings.tls_authority,
        )
        self.admin_context = make_server_context(files)
        self.peer_keys = PeerKeys(files, settings.tls_peer_name)
        self._watch(self.admin_context, files)

    def _add_callers(self, settings: EntrySettings) -> None:
        if not settings.caller_tls_certificate:
            return
        files = KeyFiles(
            settings.caller_tls_certificate,
            settings.caller_tls_key,
            settings.caller_tls_authority,
        )
        self.caller_context = make_server_context(files)
        self._watch(self.caller_context, files)

    def _add_backends(self, settings: EntrySettings) -> None:
        if not settings.backend_tls_authority:
            return
        files = KeyFiles(
            settings.backend_tls_certificate,
            settings.backend_tls_key,
            settings.backend_tls_authority,
        )
        self.backend_context = make_client_context(files)
        self._watch(self.backend_context, files)

    def _watch(self, context: ssl.SSLContext, files: KeyFiles) -> None:
        async def reload() -> None:
            load_key_pair(context, files)
            if context is self.admin_context and self.peer_keys is not None:
                self.peer_keys.read()
                if self.renew_peer_security is not None:
                    await self.renew_peer_security(self.peer_keys.security())

        self.watched.append(WatchedKeyFiles(files, reload))
