"""The HTTP application of an entry: its routes and error handling."""

from __future__ import annotations

from blacksheep import Application, Request, Response

from egretford.api.bodies import write_error
from egretford.api.chat import ChatRoutes
from egretford.api.programs import ProgramRoutes
from egretford.api.routing import Handler, add_route, create_application
from egretford.api.status import StatusRoutes
from egretford.errors import ErrorKind, RequestError


class RequestCounter:
    """Counts requests in progress, so that a shutdown can wait for them."""

    def __init__(self) -> None:
        self.inflight = 0


def build_application(
    programs: ProgramRoutes, chat: ChatRoutes, status: StatusRoutes, counter: RequestCounter
) -> Application:
    """Build the application; every RequestError becomes a response with a verdict."""
    app = create_application()

    def when_ready(handler: Handler) -> Handler:
        return _require_ready(handler, status, counter)

    add_route(app, "POST", "/v1/programs", when_ready(programs.open))
    add_route(app, "GET", "/v1/programs/:program", when_ready(programs.view))
    add_route(app, "DELETE", "/v1/programs/:program", when_ready(programs.end))
    add_route(app, "POST", "/v1/programs/:program/calls", when_ready(programs.call))
    add_route(app, "GET", "/v1/programs/:program/calls/:call", when_ready(programs.get_call))
    add_route(app, "POST", "/v1/chat/completions", when_ready(chat.complete))
    add_route(app, "GET", "/healthz", status.check_health)
    add_route(app, "GET", "/readyz", status.check_readiness)
    add_route(app, "GET", "/v1/status", status.read_status)
    add_route(app, "GET", "/v1/histograms", status.read_histograms)
    app.router.fallback = _handle_unknown_path
    app.exceptions_handlers[RequestError] = _handle_error
    return app


def _require_ready(handler: Handler, status: StatusRoutes, counter: RequestCounter) -> Handler:
    async def handle(request: Request) -> Response:
        if not status.is_ready:
            raise RequestError(
                ErrorKind.NOT_READY,
                "this entry takes no new work; send the request to another",
                retry_after_seconds=1.0,
            )
        counter.inflight += 1
        try:
            return await handler(request)
        finally:
            counter.inflight -= 1

    return handle


async def _handle_unknown_path(request: Request) -> Response:
    return write_error(
        RequestError(ErrorKind.BAD_REQUEST, f"no such path: {request.url.path.decode()}")
    )


async def _handle_error(app: Application, request: Request, error: RequestError) -> Response:
    response = write_error(error)
    if error.kind is ErrorKind.NOT_READY:
        response.add_header(b"Connection", b"close")
    return response
