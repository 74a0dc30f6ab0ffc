//! Stand-in engines: they announce themselves, take orders for layers, and
//! stream events, as the platform's pages describe.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::Notify;

use crate::common::caller::agent;

/// Period of the heartbeats.
pub(crate) const BEAT: Duration = Duration::from_millis(300);
/// Layers of the model.
pub(crate) const LAYERS: u32 = 8;
/// Events of a whole stream.
pub(crate) const EVENTS: u64 = 12;
/// What a caller must get of a whole stream.
pub(crate) fn whole_stream() -> String {
    let event = |id| format!("id: {id}\ndata: token {id}\n\n");
    (1..=EVENTS).map(event).collect()
}

/// Time between two events.
const PACE: Duration = Duration::from_millis(40);

/// Time from the start of a crashing run to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(60);

/// Time until a crashed engine restarts.
const DOWNTIME: Duration = Duration::from_millis(1500);

/// How an engine misbehaves at the first run of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// It resets each stream after so many events.
    CutAfter(u64),
    /// It takes requests and says nothing.
    Mute,
    /// As [`Fault::Mute`], at every run.
    Deaf,
    /// It runs requests and answers with a failure of its own.
    Error,
}

/// What all engines of a test know together.
#[derive(Default)]
pub(crate) struct World {
    /// Layers by address.
    held: HashMap<SocketAddr, (u32, u32)>,
    /// Runs by the caller's attempt.
    runs: HashMap<String, u32>,
    faults: HashMap<String, Fault>,
    dead: Vec<String>,
    /// Time that an engine takes to answer an order.
    order_time: Duration,
    /// Orders that wait for their answers, and the most that ever did.
    ordering: usize,
    most_ordering: usize,
    /// Paths that no engine should have got.
    wrong: Vec<String>,
    /// Organisation and body of requests that crash the engines that run them.
    crashing: Vec<(String, String)>,
    /// When engines received a request of `crashing`, by body.
    received: Vec<(Instant, String)>,
    /// Rate limits that engines announce, in requests per second, by engine.
    limits: HashMap<String, f64>,
    /// Arrival times of requests, by engine.
    arrivals: HashMap<String, Vec<Instant>>,
    /// When engines crashed under a request of `crashing`, by body.
    crashed: Vec<(Instant, String)>,
}

pub(crate) type Shared = Arc<Mutex<World>>;

/// What an engine is.
#[derive(Clone)]
pub(crate) struct Spec {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) domain: &'static str,
    pub(crate) service: &'static str,
}

impl World {
    pub(crate) fn fault(&mut self, id: &str, fault: Fault) {
        self.faults.insert(id.to_owned(), fault);
    }

    /// Ends an engine without a word.
    pub(crate) fn kill(&mut self, spec: &Spec) {
        self.dead.push(spec.id.clone());
        self.held.remove(&spec.address);
    }

    /// Sets or clears the rate limit that an engine announces in its responses.
    pub(crate) fn set_limit(&mut self, id: &str, limit: Option<f64>) {
        match limit {
            Some(limit) => self.limits.insert(id.to_owned(), limit),
            None => self.limits.remove(id),
        };
    }

    /// Arrival times of an engine's requests.
    pub(crate) fn arrivals(&self, id: &str) -> Vec<Instant> {
        self.arrivals.get(id).cloned().unwrap_or_default()
    }

    /// Makes this request of an organisation crash each engine that runs it.
    pub(crate) fn crash_on(&mut self, organisation: &str, body: &str) {
        let request = (organisation.to_owned(), body.to_owned());
        self.crashing.push(request);
    }

    /// When engines received a request of [`World::crash_on`].
    pub(crate) fn received(&self, body: &str) -> Vec<Instant> {
        times_of(&self.received, body)
    }

    /// When engines crashed under a request of [`World::crash_on`].
    pub(crate) fn crashed(&self, body: &str) -> Vec<Instant> {
        times_of(&self.crashed, body)
    }

    /// Makes all engines take their time over orders.
    pub(crate) fn slow_orders(&mut self, time: Duration) {
        self.order_time = time;
    }

    /// The most orders that ever waited for their answers at once.
    pub(crate) fn most_ordering(&self) -> usize {
        self.most_ordering
    }

    /// Engines that hold layers.
    pub(crate) fn holders(&self) -> usize {
        self.held.len()
    }

    pub(crate) fn runs(&self, attempt: &str) -> u32 {
        self.runs.get(attempt).copied().unwrap_or(0)
    }

    pub(crate) fn wrong(&self) -> &[String] {
        &self.wrong
    }

    /// Whether the engines at these addresses hold all layers together.
    pub(crate) fn covers(&self, addresses: &[SocketAddr]) -> bool {
        let ranges = || addresses.iter().filter_map(|a| self.held.get(a));
        (0..LAYERS).all(|l| ranges().any(|r| r.0 <= l && l < r.1))
    }

    /// Returns the body of a request if it crashes engines, and records its arrival.
    fn record_received(&mut self, request: (String, String)) -> Option<String> {
        if !self.crashing.contains(&request) {
            return None;
        }
        self.received.push((Instant::now(), request.1.clone()));
        Some(request.1)
    }

    /// Why a path can't run, if so.
    fn refuses(&mut self, path: &str, first: SocketAddr) -> Option<SocketAddr> {
        let mut at = 0;
        for (i, part) in path.split(',').enumerate() {
            let (address, range) = part.split_once('=').expect("an address and layers");
            let (from, to) = range.split_once('-').expect("two layers");
            let (from, to): (u32, u32) = (from.parse().unwrap(), to.parse().unwrap());
            let address: SocketAddr = address.parse().expect("an address");
            if from != at || (i == 0 && address != first) {
                self.wrong.push(path.to_owned());
            }
            at = to;
            let holds = |h: &(u32, u32)| h.0 <= from && to <= h.1;
            if !self.held.get(&address).is_some_and(holds) {
                return Some(address);
            }
        }
        if at != LAYERS {
            self.wrong.push(path.to_owned());
        }
        None
    }
}

fn times_of(list: &[(Instant, String)], body: &str) -> Vec<Instant> {
    let of_body = list.iter().filter(|(_, b)| b == body);
    of_body.map(|(at, _)| *at).collect()
}

/// Runs an engine until the test ends. After a crash it restarts at the same address
/// under a new id, without layers.
pub(crate) fn run(spec: Spec, world: Shared, controllers: Vec<SocketAddr>) {
    let mut listener = listen(spec.address);
    thread::spawn(move || {
        let mut start = spec.clone();
        for number in 1.. {
            let (beating, beats) = (start.clone(), Arc::clone(&world));
            let controllers = controllers.clone();
            thread::spawn(move || beat(&beating, &beats, &controllers));
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(serve(listener, start.clone(), Arc::clone(&world)));
            // Closes all connections.
            drop(runtime);
            world.lock().unwrap().kill(&start);
            thread::sleep(DOWNTIME);
            listener = listen(spec.address);
            start.id = format!("{}.{number}", spec.id);
        }
    });
}

fn listen(address: SocketAddr) -> std::net::TcpListener {
    let listener = std::net::TcpListener::bind(address).expect("a free address");
    listener.set_nonblocking(true).unwrap();
    listener
}

fn beat(spec: &Spec, world: &Shared, controllers: &[SocketAddr]) {
    let mut target = 0;
    for seq in 1_u64.. {
        if world.lock().unwrap().dead.contains(&spec.id) {
            return;
        }
        let held = world.lock().unwrap().held.get(&spec.address).copied();
        let layers = held.map(|(from, to)| json!({"from": from, "to": to, "version": 1}));
        let body = json!({
            "service": spec.service, "addr": spec.address.to_string(), "zone": spec.domain,
            "version": "v1", "slots": 8, "state": "ready", "seq": seq, "coldLeftMs": 0,
            "type": "small", "layers": layers,
        });
        let path = format!("/v1/Instances.Heartbeat/{}", spec.id);
        if !post(controllers[target % controllers.len()], &path, &body) {
            target += 1;
        }
        thread::sleep(BEAT);
    }
}

/// Posts and follows one redirect; says whether it was acknowledged.
pub(crate) fn post(to: SocketAddr, path: &str, body: &Value) -> bool {
    let mut uri = format!("http://{to}{path}");
    for _ in 0..2 {
        let sent = agent().post(&uri).send(body.to_string());
        let Ok(reply) = sent else { return false };
        if reply.status() != 307 {
            return reply.status() == 200;
        }
        let location = reply.headers().get("location").expect("a location");
        location.to_str().unwrap().clone_into(&mut uri);
    }
    false
}

/// Serves requests until the engine crashes.
async fn serve(listener: std::net::TcpListener, spec: Spec, world: Shared) {
    let listener = TcpListener::from_std(listener).unwrap();
    let crash = Arc::new(Notify::new());
    loop {
        let (stream, _) = tokio::select! {
            accepted = listener.accept() => accepted.unwrap(),
            () = crash.notified() => return,
        };
        if world.lock().unwrap().dead.contains(&spec.id) {
            continue;
        }
        let (spec, world, crash) = (spec.clone(), Arc::clone(&world), Arc::clone(&crash));
        let service = service_fn(move |request| {
            let (spec, world, crash) = (spec.clone(), Arc::clone(&world), Arc::clone(&crash));
            async move { Ok::<_, Infallible>(answer(&spec, &world, &crash, request).await) }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

type Body = UnsyncBoxBody<Bytes, &'static str>;

fn whole(status: u16, body: &str) -> Response<Body> {
    let body = Full::from(body.to_owned()).map_err(|never| match never {});
    let response = Response::builder().status(status);
    response.body(body.boxed_unsync()).unwrap()
}

async fn answer(
    spec: &Spec,
    world: &Shared,
    crash: &Arc<Notify>,
    request: Request<Incoming>,
) -> Response<Body> {
    let header = |name: &str| {
        let value = request.headers().get(name);
        value.map(|v| v.to_str().unwrap().to_owned())
    };
    if header("x-expect-instance").is_some_and(|id| id != spec.id) {
        return whole(421, "");
    }
    match request.uri().path() {
        "/v1/order" => return order(spec, world, request).await,
        "/v1/report" => return report(spec, world),
        _ => {}
    }
    let attempt = header("x-attempt-id").expect("an id");
    let limit = {
        let mut world = world.lock().unwrap();
        let arrivals = world.arrivals.entry(spec.id.clone()).or_default();
        arrivals.push(Instant::now());
        world.limits.get(&spec.id).copied()
    };
    let path = header("x-hop-count");
    assert!(header("x-credential").is_none(), "a key was passed on");
    assert!(header("x-tenant").is_some(), "an organisation is named");
    let last: u64 = header("last-event-id").map_or(0, |l| l.parse().unwrap());
    let organisation = header("x-tenant").unwrap_or_default();
    let body = request.into_body().collect().await;
    let Ok(body) = body.map(http_body_util::Collected::to_bytes) else {
        return whole(400, "");
    };
    let sent = (organisation, String::from_utf8_lossy(&body).into_owned());
    let crashes = world.lock().unwrap().record_received(sent);
    let refused = path.and_then(|p| world.lock().unwrap().refuses(&p, spec.address));
    if let Some(culprit) = refused {
        let mut response = whole(503, "");
        let headers = response.headers_mut();
        headers.insert("x-not-executed", "1".parse().unwrap());
        headers.insert("at-server", culprit.to_string().parse().unwrap());
        return response;
    }
    let fault = {
        let mut world = world.lock().unwrap();
        let runs = world.runs.entry(attempt.clone()).or_default();
        *runs += 1;
        let again = *runs > 1;
        let fault = world.faults.get(&spec.id).copied();
        let lasts = |f: &Fault| !again || *f == Fault::Deaf;
        fault.filter(lasts).unwrap_or(Fault::None)
    };
    if matches!(fault, Fault::Mute | Fault::Deaf) {
        std::future::pending::<()>().await;
    }
    if let Some(body) = &crashes {
        let (crash, world, body) = (Arc::clone(crash), Arc::clone(world), body.clone());
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_AFTER).await;
            world.lock().unwrap().crashed.push((Instant::now(), body));
            crash.notify_one();
        });
    }
    // Engines of plain services crash before they respond.
    if crashes.is_some() && spec.service != "models" {
        std::future::pending::<()>().await;
    }
    let mut response = match spec.service {
        "models" if crashes.is_some() => Response::new(pending_stream()),
        _ if fault == Fault::Error => whole(500, "the stock file is locked"),
        "models" => Response::new(events(last, fault)),
        _ => whole(200, &format!("done by {}", spec.id)),
    };
    let headers = response.headers_mut();
    if spec.service == "models" {
        headers.insert("content-type", "text/event-stream".parse().unwrap());
    }
    headers.insert("x-attempt-id", attempt.parse().unwrap());
    if let Some(limit) = limit {
        headers.insert("server-limit", limit.to_string().parse().unwrap());
    }
    headers.insert("x-server-signature", spec.id.parse().unwrap());
    response
}

/// A stream that stays open without events.
fn pending_stream() -> Body {
    StreamBody::new(stream::pending::<Result<Frame<Bytes>, _>>()).boxed_unsync()
}

/// The events behind `last`.
fn events(last: u64, fault: Fault) -> Body {
    let next = move |id: u64| async move {
        tokio::time::sleep(PACE).await;
        let cut = matches!(fault, Fault::CutAfter(most) if id > most);
        let event = format!("id: {id}\ndata: token {id}\n\n");
        match (id > EVENTS, cut) {
            (true, _) => None,
            // Half an event, as a dying engine leaves it.
            (_, true) if id.is_multiple_of(2) => {
                Some((Ok(Frame::data(event[..7].to_owned().into())), id + 1))
            }
            (_, true) => Some((Err("cut"), id)),
            _ => Some((Ok(Frame::data(event.into())), id + 1)),
        }
    };
    StreamBody::new(stream::unfold(last + 1, next)).boxed_unsync()
}

async fn order(spec: &Spec, world: &Shared, request: Request<Incoming>) -> Response<Body> {
    let body = request.into_body().collect().await.unwrap().to_bytes();
    let order: Value = serde_json::from_slice(&body).unwrap();
    if order["op"] != "place" {
        return whole(404, "");
    }
    let layer = |name: &str| u32::try_from(order[name].as_u64().unwrap()).unwrap();
    let range = (layer("from"), layer("to"));
    let time = {
        let mut world = world.lock().unwrap();
        world.ordering += 1;
        world.most_ordering = world.most_ordering.max(world.ordering);
        world.order_time
    };
    tokio::time::sleep(time).await;
    let mut world = world.lock().unwrap();
    world.ordering -= 1;
    world.held.insert(spec.address, range);
    whole(202, "")
}

fn report(spec: &Spec, world: &Shared) -> Response<Body> {
    let held = world.lock().unwrap().held.get(&spec.address).copied();
    let layers = held.map(|(from, to)| json!({"from": from, "to": to, "version": 1}));
    whole(200, &json!({"layers": layers, "stalled": []}).to_string())
}
