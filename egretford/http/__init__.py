"""HTTP/1.1 over asyncio streams, parsed by httptools: a server and a client for forwarding."""
