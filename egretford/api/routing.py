"""Adds bound methods as route handlers; the web library cannot set attributes on them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from blacksheep import Application, Request, Response, Router

Handler = Callable[[Request], Awaitable[Response]]


def create_application() -> Application:
    """Create an application with its own router instead of the library's shared one."""
    return Application(router=Router())


def add_route(app: Application, method: str, path: str, handler: Handler) -> None:
    """Route a method and path to a handler, wrapped in a plain function."""

    async def handle(request: Request) -> Response:
        return await handler(request)

    app.router.add(method, path, handle)
