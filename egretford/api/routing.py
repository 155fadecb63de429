"""Adding of bound methods as handlers, which the web library cannot mark by itself."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from blacksheep import Application, Request, Response

Handler = Callable[[Request], Awaitable[Response]]


def add_route(app: Application, method: str, path: str, handler: Handler) -> None:
    """Route a method and path to a handler."""

    async def handle(request: Request) -> Response:
        return await handler(request)

    app.router.add(method, path, handle)
