"""HTTP/1.1 server and forwarding client on asyncio protocols, parsed by httptools."""
