//! The listener for callers, and which handler a path has.

use std::convert::Infallible;
use std::net::TcpListener as StdListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::Serving;
use super::body::Reply;
use super::respond;
use crate::openai::Form;
use crate::request::{Answer, RefusalCode};

/// Pause after a failed accept, such as for lack of file descriptors.
const PAUSE: Duration = Duration::from_millis(50);

/// Prefix of the paths of plain services.
const SERVICES: &str = "/services/";

/// A request's head and whole body.
pub(crate) struct Received {
    pub(crate) head: hyper::http::request::Parts,
    pub(crate) body: Bytes,
}

impl Serving {
    /// Accepts callers until the runtime ends.
    pub(crate) async fn accept(self: Arc<Self>, listener: StdListener) {
        let listener = TcpListener::from_std(listener).expect("the listener doesn't block");
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(Arc::clone(&self).connection(stream));
                }
                Err(_) => tokio::time::sleep(PAUSE).await,
            }
        }
    }

    async fn connection(self: Arc<Self>, stream: TcpStream) {
        // Without it each token waits for the delayed acknowledgement of the
        // one before.
        let _ = stream.set_nodelay(true);
        let settings = Arc::clone(&self.parts.settings);
        let service = service_fn(move |request| Arc::clone(&self).respond(request));
        let served = Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(settings.receive)
            .max_buf_size(settings.head)
            .serve_connection(TokioIo::new(stream), service)
            .await;
        if let Err(e) = served {
            tracing::debug!("a caller's connection ended: {e}");
        }
    }

    async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Reply>, Infallible> {
        let path = request.uri().path();
        let response = match (request.method(), path) {
            (&Method::GET, "/healthz") => respond::plain(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => self.ready(),
            (&Method::GET, "/v1/models") => self.models(&request),
            (&Method::POST, "/v1/completions") => self.complete_form(Form::Text, request).await,
            (&Method::POST, "/v1/chat/completions") => {
                self.complete_form(Form::Chat, request).await
            }
            (_, path) if path.starts_with(SERVICES) => self.call_form(request).await,
            _ => refuse(RefusalCode::UnknownPath),
        };
        Ok(response)
    }

    fn ready(&self) -> Response<Reply> {
        match self.parts.gate.not_ready(&self.parts.force, self.now()) {
            None => respond::plain(StatusCode::OK, "ready\n"),
            Some(reason) => respond::plain(StatusCode::SERVICE_UNAVAILABLE, reason),
        }
    }

    async fn complete_form(
        self: Arc<Self>,
        form: Form,
        request: Request<Incoming>,
    ) -> Response<Reply> {
        match self.receive(request).await {
            Ok(received) => self.complete(form, received).await,
            Err(code) => refuse(code),
        }
    }

    async fn call_form(self: Arc<Self>, request: Request<Incoming>) -> Response<Reply> {
        match self.receive(request).await {
            Ok(received) => self.call(received).await,
            Err(code) => refuse(code),
        }
    }

    /// Reads a body whole, within the bounds of size and time.
    async fn receive(&self, request: Request<Incoming>) -> Result<Received, RefusalCode> {
        let settings = &self.parts.settings;
        let (head, body) = request.into_parts();
        let whole = Limited::new(body, settings.body).collect();
        match timeout(settings.receive, whole).await {
            Ok(Ok(body)) => Ok(Received {
                head,
                body: body.to_bytes(),
            }),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(RefusalCode::TooLarge),
            Ok(Err(_)) => Err(RefusalCode::InvalidRequest),
            Err(_) => Err(RefusalCode::TooSlow),
        }
    }
}

/// A refusal of something that never became a request of an organisation.
pub(crate) fn refuse(code: RefusalCode) -> Response<Reply> {
    respond::refuse(&Answer::unread(code, false, None), "-")
}
