//! The listener for callers, and which handler a path has.

use std::net::TcpListener as StdListener;
use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};

use super::Server;
use super::respond;
use crate::http::{self, ReceiveError, ReceiveLimits, ResponseBody};
use crate::openai::Form;
use crate::request::{Answer, RefusalCode};

/// Prefix of the paths of plain services.
const SERVICES: &str = "/services/";

/// A request's head and whole body.
pub(crate) struct Received {
    pub(crate) head: hyper::http::request::Parts,
    pub(crate) body: Bytes,
}

impl Server {
    /// Accepts callers until the runtime ends.
    pub(crate) async fn accept(self: Arc<Self>, listener: StdListener) {
        let bounds = ReceiveLimits {
            max_head: self.deps.settings.head,
            receive_timeout: self.deps.settings.receive,
        };
        http::accept(listener, bounds, move |request| {
            Arc::clone(&self).answer(request)
        })
        .await;
    }

    /// Answers a request, and closes its connection while draining: a caller
    /// that keeps one open might send its next request at the very moment at
    /// which the process ends, and would never hear of it.
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let gate = Arc::clone(&self.deps.gate);
        let mut response = self.respond(request).await;
        if gate.closed() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::GET, "/healthz") => respond::plain(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => self.ready(),
            (&Method::GET, "/v1/models") => self.models(&request),
            (&Method::POST, "/v1/completions") => self.complete_form(Form::Text, request).await,
            (&Method::POST, "/v1/chat/completions") => {
                self.complete_form(Form::Chat, request).await
            }
            (_, path) if path.starts_with(SERVICES) => self.call_form(request).await,
            _ => refuse(RefusalCode::UnknownPath),
        }
    }

    fn ready(&self) -> Response<ResponseBody> {
        match self.deps.gate.not_ready(&self.deps.catalogue, self.now()) {
            None => respond::plain(StatusCode::OK, "ready\n"),
            Some(reason) => respond::plain(StatusCode::SERVICE_UNAVAILABLE, reason),
        }
    }

    async fn complete_form(
        self: Arc<Self>,
        form: Form,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        match self.receive(request).await {
            Ok(received) => self.complete(form, received).await,
            Err(code) => refuse(code),
        }
    }

    async fn call_form(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        match self.receive(request).await {
            Ok(received) => self.call(received).await,
            Err(code) => refuse(code),
        }
    }

    /// Reads a body whole, within the bounds of size and time.
    async fn receive(&self, request: Request<Incoming>) -> Result<Received, RefusalCode> {
        let settings = &self.deps.settings;
        let (head, body) = request.into_parts();
        match http::read_body(body, settings.body, settings.receive).await {
            Ok(body) => Ok(Received { head, body }),
            Err(ReceiveError::TooLarge) => Err(RefusalCode::TooLarge),
            Err(ReceiveError::Incomplete) => Err(RefusalCode::InvalidRequest),
            Err(ReceiveError::Timeout) => Err(RefusalCode::TooSlow),
        }
    }
}

/// A refusal of something that never became a request of an organisation.
pub(crate) fn refuse(code: RefusalCode) -> Response<ResponseBody> {
    respond::refuse(&Answer::refused_early(code, false, None), "-")
}
