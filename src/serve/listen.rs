//! Accepts callers' connections and routes requests to their handlers.

use std::net::TcpListener as StdListener;
use std::sync::Arc;

use bytes::Bytes;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};

use super::Server;
use super::respond;
use crate::http::{self, ReceiveError, ReceiveLimits, RequestBody, ResponseBody};
use crate::openai::Endpoint;
use crate::request::{Answer, RefusalCode};

/// Prefix of the paths of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// A request with its complete body.
pub(crate) struct ReceivedRequest {
    pub(crate) head: hyper::http::request::Parts,
    pub(crate) body: Bytes,
}

impl Server {
    /// Accepts connections until the runtime stops.
    pub(crate) async fn accept(self: Arc<Self>, listener: StdListener) {
        let limits = ReceiveLimits {
            max_head: self.deps.settings.max_head,
            receive_timeout: self.deps.settings.receive_timeout,
            connections: usize::MAX,
        };
        http::accept(listener, limits, move |request| {
            Arc::clone(&self).handle(request)
        })
        .await;
    }

    /// Handles a request. While draining, the connection is closed afterwards: on
    /// an open one, the caller could send its next request just as the process
    /// exits, and would get no response.
    async fn handle(self: Arc<Self>, request: Request<RequestBody>) -> Response<ResponseBody> {
        let gate = Arc::clone(&self.deps.gate);
        let mut response = self.route_request(request).await;
        if gate.is_closed() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn route_request(
        self: Arc<Self>,
        request: Request<RequestBody>,
    ) -> Response<ResponseBody> {
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::GET, "/healthz") => respond::plain_text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => self.ready(),
            (&Method::GET, "/v1/models") => self.models(&request),
            (&Method::POST, "/v1/completions") => {
                self.handle_completion(Endpoint::Text, request).await
            }
            (&Method::POST, "/v1/chat/completions") => {
                self.handle_completion(Endpoint::Chat, request).await
            }
            (_, path) if path.starts_with(SERVICES_PREFIX) => self.handle_call(request).await,
            _ => refuse_unidentified(RefusalCode::UnknownPath),
        }
    }

    fn ready(&self) -> Response<ResponseBody> {
        match self
            .deps
            .gate
            .unready_reason(&self.deps.catalogue, self.now())
        {
            None => respond::plain_text(StatusCode::OK, "ready\n"),
            Some(reason) => respond::plain_text(StatusCode::SERVICE_UNAVAILABLE, reason),
        }
    }

    async fn handle_completion(
        self: Arc<Self>,
        endpoint: Endpoint,
        request: Request<RequestBody>,
    ) -> Response<ResponseBody> {
        match self.read_request(request).await {
            Ok(received) => self.complete(endpoint, received).await,
            Err(code) => refuse_unidentified(code),
        }
    }

    async fn handle_call(self: Arc<Self>, request: Request<RequestBody>) -> Response<ResponseBody> {
        match self.read_request(request).await {
            Ok(received) => self.call(received).await,
            Err(code) => refuse_unidentified(code),
        }
    }

    /// Reads the complete body, within the limits of size and time.
    async fn read_request(
        &self,
        request: Request<RequestBody>,
    ) -> Result<ReceivedRequest, RefusalCode> {
        let settings = &self.deps.settings;
        let (head, body) = request.into_parts();
        match http::read_body(body, settings.max_body, settings.receive_timeout).await {
            Ok(body) => Ok(ReceivedRequest { head, body }),
            Err(ReceiveError::TooLarge) => Err(RefusalCode::TooLarge),
            Err(ReceiveError::Incomplete) => Err(RefusalCode::InvalidRequest),
            Err(ReceiveError::Timeout) => Err(RefusalCode::TooSlow),
        }
    }
}

/// Refuses a request before it is assigned to an organisation.
pub(crate) fn refuse_unidentified(code: RefusalCode) -> Response<ResponseBody> {
    respond::error(&Answer::refused_early(code, false, None), "-")
}
