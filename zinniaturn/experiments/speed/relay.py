"""
Minimal HTTP relay on ``aiohttp``, the baseline to compare an entry with.

Run it as ``python -m zinniaturn.experiments.speed.relay PORT SERVER_PORT``.
"""

__all__ = ('main',)

import asyncio
import sys

from aiohttp import ClientSession, TCPConnector, web


async def _serve(port: int, server_port: int) -> None:
    connector = TCPConnector(limit=0)
    async with ClientSession(connector=connector) as session:

        async def relay(request: web.BaseRequest) -> web.Response:
            url = f'http://127.0.0.1:{server_port}{request.path_qs}'
            async with session.request(request.method, url) as response:
                return web.Response(
                    status=response.status,
                    headers={'Content-Type': response.headers['Content-Type']},
                    body=await response.read(),
                )

        server = web.Server(relay, access_log=None)
        loop = asyncio.get_running_loop()
        await loop.create_server(server, '127.0.0.1', port)
        await asyncio.Event().wait()


def main() -> None:
    """Relay from the first port on the command line to the second."""
    asyncio.run(_serve(*(int(text) for text in sys.argv[1:3])))


if __name__ == '__main__':
    main()
