//! Simulated engines that speak the platform's protocol: they send heartbeats, accept
//! orders to load layers and stream events.

use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
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
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::sync::{Notify, watch};
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};

use crate::common::caller::agent;
use crate::cut::{self, Cut, Link, Links};
use crate::endless::{self, Endless};
use crate::malformed::{self, Malformed};
use crate::pause::{EngineRun, Pauses, Running};
use crate::unframed::{self, Ending};

pub(crate) const HEARTBEAT_PERIOD: Duration = Duration::from_millis(300);
/// Number of layers of the model.
pub(crate) const LAYERS: u32 = 8;
/// Number of events of a complete stream.
pub(crate) const STREAM_EVENTS: u64 = 12;

/// Path of a plain service whose answer has [`LONG_ANSWER`] bytes: more than the buffers of a
/// connection hold.
pub(crate) const LONG_PATH: &str = "/lookups/long";
pub(crate) const LONG_ANSWER: usize = 12 << 20;

/// Body that a caller must receive for a complete stream.
pub(crate) fn expected_stream() -> String {
    let event = |id| format!("id: {id}\ndata: token {id}\n\n");
    (1..=STREAM_EVENTS).map(event).collect()
}

/// Time between two events.
pub(crate) const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// Time after which a call without an acknowledgement goes to the next controller.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Time from the start of a crashing run to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(60);

/// Time until a crashed engine restarts.
const DOWNTIME: Duration = Duration::from_millis(1500);

/// Interval at which a mute engine checks whether its pause has ended.
const MUTE_INTERVAL: Duration = Duration::from_millis(20);

/// How an engine misbehaves at the first run of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// Breaks off each stream after this many events.
    ResetAfter(u64),
    /// Accepts requests and never responds.
    HangOnce,
    /// Like [`Fault::HangOnce`], but at every run of an attempt.
    Hang,
    /// Runs requests and responds with this status.
    Error(u16),
}

/// State that all engines of a test share, and the record of what they received.
#[derive(Default)]
pub(crate) struct EngineState {
    /// Range of loaded layers, its end exclusive, by engine address.
    layers: HashMap<SocketAddr, (u32, u32)>,
    /// Number of runs, by the caller's attempt ID.
    runs: HashMap<String, u32>,
    /// Faults, by engine ID.
    faults: HashMap<String, Fault>,
    /// IDs of killed engines.
    killed: Vec<String>,
    /// Signals that end engines, by engine address.
    crash_signals: HashMap<SocketAddr, Arc<Notify>>,
    /// Time that an engine takes to answer an order.
    order_delay: Duration,
    /// Start time that all engines announce.
    born: Option<u64>,
    /// Time that an engine takes to load the layers of an order.
    load_time: Duration,
    /// Ranges that engines are loading, by engine address.
    loading: HashMap<SocketAddr, (u32, u32)>,
    orders: Vec<Order>,
    /// Number of orders that are not yet answered, and its maximum so far.
    pending_orders: usize,
    max_pending: usize,
    /// Received paths that don't cover all layers in order, each once, or that don't
    /// start at the engine that received them.
    invalid_paths: Vec<String>,
    /// Organisation and body of requests that crash the engines that run them.
    crash_requests: Vec<(String, String)>,
    /// Parts of prompts that crash the engines that run them.
    crash_parts: Vec<String>,
    /// When engines received a request of `crash_requests`, by body, or with one of `crash_parts`,
    /// by part.
    received: Vec<(Instant, String)>,
    /// Rate limits that engines announce, in requests per second, by engine.
    limits: HashMap<String, f64>,
    /// Arrival times of requests, by engine.
    arrivals: HashMap<String, Vec<Instant>>,
    /// When engines crashed, by the same as in `received`.
    crashes: Vec<(Instant, String)>,
    /// Links from instances to engines.
    pub(crate) links: Links,
    /// Engines that turn requests away, with the value of `Retry-After`.
    sheds: HashMap<String, String>,
    /// Engines that say that they are leaving.
    leaving: Vec<String>,
    /// Requests that reached engines, in order.
    visits: Vec<Visit>,
    /// Values of `X-Priority-Class` with which requests arrived, by the caller's attempt ID.
    classes: HashMap<String, Vec<Option<String>>>,
    /// Time in milliseconds that requests arrived with, by the caller's attempt ID.
    deadlines: HashMap<String, u64>,
    /// How engines end answers that have neither a length nor chunks, if they send such ones.
    pub(crate) unframed: Option<Ending>,
    /// Engines that send bytes without end, by ID.
    pub(crate) endless: HashMap<String, Endless>,
    /// What engines send in place of answers.
    pub(crate) malformed: Option<Malformed>,
    pub(crate) pauses: Pauses,
    /// Runs of attempts, in order of their start.
    pub(crate) engine_runs: Vec<EngineRun>,
    /// Whether engines send the start of each event with the end of the one before.
    pub(crate) splits_events: bool,
    /// Time that engines of plain services work on a request.
    pub(crate) work_time: Duration,
    /// Whether the engines are to end.
    ended: watch::Sender<bool>,
}

/// State of the engines of a deployment, which end when this is dropped. Engines that outlived
/// their test went on sending heartbeats: after half of this binary's tests there were 750
/// threads and 2,200 open files, and heartbeats of the tests that still ran came late.
#[derive(Default)]
pub(crate) struct RunningEngines(SharedState);

impl RunningEngines {
    pub(crate) fn state(&self) -> MutexGuard<'_, EngineState> {
        self.0.lock().unwrap()
    }

    /// Starts an engine.
    pub(crate) fn start(&self, spec: EngineSpec, controllers: Vec<SocketAddr>) {
        spawn(spec, Arc::clone(&self.0), controllers);
    }
}

impl Drop for RunningEngines {
    fn drop(&mut self) {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.ended.send_replace(true);
    }
}

/// An answer that is written to its connection without an HTTP server.
#[derive(Clone, Copy, Debug)]
enum RawAnswer {
    Endless(Endless),
    Unframed(Ending),
    Malformed(Malformed),
}

impl RawAnswer {
    /// Answers the request on a new connection.
    async fn send(self, stream: TcpStream, spec: EngineSpec, state: SharedState) -> io::Result<()> {
        match self {
            Self::Endless(kind) => endless::answer(stream, spec, state, kind).await,
            Self::Unframed(ending) => unframed::answer(stream, spec, state, ending).await,
            Self::Malformed(kind) => malformed::answer(stream, spec, state, kind).await,
        }
    }
}

/// A request that reached an engine.
#[derive(Clone, Debug)]
pub(crate) struct Visit {
    pub(crate) engine: String,
    /// Address of the instance that sent it.
    pub(crate) source: IpAddr,
    pub(crate) at: Instant,
    /// Whether it was turned away.
    pub(crate) shed: bool,
}

pub(crate) type SharedState = Arc<Mutex<EngineState>>;

/// An order to hold layers, as an engine received it.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    pub(crate) engine: String,
    pub(crate) range: (u32, u32),
    /// Term of the leader that sent it.
    pub(crate) fence: u64,
    /// Whether the engine was still loading the layers of an earlier order.
    pub(crate) busy: bool,
}

/// Identity and placement of an engine.
#[derive(Clone)]
pub(crate) struct EngineSpec {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) domain: &'static str,
    pub(crate) service: &'static str,
}

impl EngineState {
    pub(crate) fn set_fault(&mut self, id: &str, fault: Fault) {
        self.faults.insert(id.to_owned(), fault);
    }

    /// What an engine answers in place of proper HTTP, if anything.
    fn raw_answer(&self, id: &str) -> Option<RawAnswer> {
        let endless = self.endless.get(id).copied().map(RawAnswer::Endless);
        let unframed = || self.unframed.map(RawAnswer::Unframed);
        let malformed = || self.malformed.map(RawAnswer::Malformed);
        endless.or_else(unframed).or_else(malformed)
    }

    /// Stops an engine without announcing it.
    pub(crate) fn kill(&mut self, spec: &EngineSpec) {
        self.killed.push(spec.id.clone());
        self.layers.remove(&spec.address);
        self.loading.remove(&spec.address);
    }

    /// Ends an engine; it starts again under a new ID.
    pub(crate) fn crash(&self, address: SocketAddr) {
        if let Some(signal) = self.crash_signals.get(&address) {
            signal.notify_one();
        }
    }

    /// Lets an engine turn all requests away with this `Retry-After`, or serve them again.
    pub(crate) fn set_shed(&mut self, id: &str, after: Option<&str>) {
        match after {
            Some(after) => self.sheds.insert(id.to_owned(), after.to_owned()),
            None => self.sheds.remove(id),
        };
    }

    /// Lets an engine say in its answers that it is leaving.
    pub(crate) fn set_leaving(&mut self, id: &str) {
        self.leaving.push(id.to_owned());
    }

    /// Number of runs so far that were dropped before their end, since nobody reads their answers
    /// any more.
    pub(crate) fn abandoned(&self) -> usize {
        let runs = self.engine_runs.iter();
        runs.filter(|r| r.cancelled.is_some()).count()
    }

    /// Runs of an attempt, in order of their start.
    pub(crate) fn runs_of(&self, attempt: &str) -> Vec<EngineRun> {
        let runs = self.engine_runs.iter();
        runs.filter(|r| r.attempt == attempt).cloned().collect()
    }

    /// Values of `X-Priority-Class` with which the requests of an attempt arrived, in order.
    pub(crate) fn classes(&self, attempt: &str) -> Vec<Option<String>> {
        self.classes.get(attempt).cloned().unwrap_or_default()
    }

    /// Time in milliseconds that the last request of an attempt arrived with.
    pub(crate) fn deadline(&self, attempt: &str) -> Option<u64> {
        self.deadlines.get(attempt).copied()
    }

    /// Requests that reached engines so far, in order.
    pub(crate) fn visits(&self) -> &[Visit] {
        &self.visits
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
        self.crash_requests.push(request);
    }

    /// Makes each request with this part in its prompt, but not as the last, crash each engine that
    /// runs it.
    pub(crate) fn crash_on_part(&mut self, part: &str) {
        self.crash_parts.push(part.to_owned());
    }

    /// When engines received a request of [`EngineState::crash_on`].
    pub(crate) fn received(&self, body: &str) -> Vec<Instant> {
        times_of(&self.received, body)
    }

    /// When engines crashed on a request of [`EngineState::crash_on`].
    pub(crate) fn crashes(&self, body: &str) -> Vec<Instant> {
        times_of(&self.crashes, body)
    }

    pub(crate) fn set_order_delay(&mut self, delay: Duration) {
        self.order_delay = delay;
    }

    /// Sets the start time that all engines announce, as where IDs are reused.
    pub(crate) fn set_born(&mut self, born: Option<u64>) {
        self.born = born;
    }

    pub(crate) fn set_load_time(&mut self, time: Duration) {
        self.load_time = time;
    }

    /// Orders that engines received so far.
    pub(crate) fn orders(&self) -> &[Order] {
        &self.orders
    }

    /// Range of layers that an engine holds.
    pub(crate) fn layers_of(&self, spec: &EngineSpec) -> Option<(u32, u32)> {
        self.layers.get(&spec.address).copied()
    }

    pub(crate) fn is_loading(&self, spec: &EngineSpec) -> bool {
        self.loading.contains_key(&spec.address)
    }

    /// Whether an engine accepts requests for these layers: it holds them, and isn't about to
    /// release them.
    fn accepts(&self, address: SocketAddr, from: u32, to: u32) -> bool {
        let covers = |r: &(u32, u32)| r.0 <= from && to <= r.1;
        self.layers.get(&address).is_some_and(covers)
            && self.loading.get(&address).is_none_or(covers)
    }

    /// Maximum number of orders that were unanswered at the same time.
    pub(crate) fn max_pending_orders(&self) -> usize {
        self.max_pending
    }

    /// Number of engines that hold layers.
    pub(crate) fn layer_holders(&self) -> usize {
        self.layers.len()
    }

    pub(crate) fn runs(&self, attempt: &str) -> u32 {
        self.runs.get(attempt).copied().unwrap_or(0)
    }

    pub(crate) fn invalid_paths(&self) -> &[String] {
        &self.invalid_paths
    }

    /// Whether the engines at these addresses together hold all layers.
    pub(crate) fn covers(&self, addresses: &[SocketAddr]) -> bool {
        let ranges = || addresses.iter().filter_map(|a| self.layers.get(a));
        (0..LAYERS).all(|l| ranges().any(|r| r.0 <= l && l < r.1))
    }

    /// Returns the body of a request or the part of its prompt that crashes engines, and records its
    /// arrival.
    fn record_received(&mut self, request: (String, String), prompt: &str) -> Option<String> {
        let (shared, _) = prompt.rsplit_once(',').unwrap_or_default();
        let ids = shared.split(',').filter_map(|p| Some(p.split_once(':')?.0));
        let part = ids
            .into_iter()
            .find(|id| self.crash_parts.iter().any(|p| p == id));
        let cause = match part {
            Some(part) => part.to_owned(),
            None if self.crash_requests.contains(&request) => request.1,
            None => return None,
        };
        self.received.push((Instant::now(), cause.clone()));
        Some(cause)
    }

    /// Records a run of an attempt. Returns the number of its runs so far.
    pub(crate) fn record_run(&mut self, attempt: &str) -> u32 {
        let runs = self.runs.entry(attempt.to_owned()).or_default();
        *runs += 1;
        *runs
    }

    /// Records the path if it is invalid. Returns the first engine on it that doesn't
    /// accept requests for its layers.
    fn check_path(&mut self, path: &str, first: SocketAddr) -> Option<SocketAddr> {
        let mut next = 0;
        for (i, part) in path.split(',').enumerate() {
            let (address, range) = part.split_once('=').expect("an address and layers");
            let (from, to) = range.split_once('-').expect("two layers");
            let (from, to): (u32, u32) = (from.parse().unwrap(), to.parse().unwrap());
            let address: SocketAddr = address.parse().expect("an address");
            if from != next || (i == 0 && address != first) {
                self.invalid_paths.push(path.to_owned());
            }
            next = to;
            if !self.accepts(address, from, to) {
                return Some(address);
            }
        }
        if next != LAYERS {
            self.invalid_paths.push(path.to_owned());
        }
        None
    }
}

fn times_of(records: &[(Instant, String)], body: &str) -> Vec<Instant> {
    let of_body = records.iter().filter(|(_, b)| b == body);
    of_body.map(|(at, _)| *at).collect()
}

/// Runs an engine until its deployment ends. After a crash it restarts at the same address
/// under a new ID, without layers.
fn spawn(spec: EngineSpec, state: SharedState, controllers: Vec<SocketAddr>) {
    let mut listener = listen(spec.address);
    thread::spawn(move || {
        let mut current = spec.clone();
        let mut ended = state.lock().unwrap().ended.subscribe();
        for number in 1.. {
            let (heartbeat_spec, heartbeat_state) = (current.clone(), Arc::clone(&state));
            let controllers = controllers.clone();
            // Duplicating it may wait for the kernel to enlarge the table of open files.
            let duplicate = listener.try_clone().expect("duplicate the listener");
            state.lock().unwrap().links.add(spec.address, duplicate);
            thread::spawn(move || send_heartbeats(&heartbeat_spec, &heartbeat_state, &controllers));
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                tokio::select! {
                    () = serve(listener, current.clone(), Arc::clone(&state)) => {}
                    _ = ended.wait_for(|e| *e) => {}
                }
            });
            // Closes all connections.
            drop(runtime);
            state.lock().unwrap().links.remove(spec.address);
            state.lock().unwrap().kill(&current);
            if *ended.borrow() {
                return;
            }
            thread::sleep(DOWNTIME);
            listener = listen(spec.address);
            current.id = format!("{}.{number}", spec.id);
        }
    });
}

fn listen(address: SocketAddr) -> std::net::TcpListener {
    let listener = std::net::TcpListener::bind(address).expect("a free address");
    listener.set_nonblocking(true).unwrap();
    listener
}

fn send_heartbeats(spec: &EngineSpec, state: &SharedState, controllers: &[SocketAddr]) {
    let mut target = 0;
    for seq in 1_u64.. {
        if state.lock().unwrap().killed.contains(&spec.id) {
            return;
        }
        let (born, layers, mute) = {
            let state = state.lock().unwrap();
            let mute = state.pauses.is_mute(&spec.id);
            (state.born, state.layers_of(spec), mute)
        };
        if mute {
            thread::sleep(MUTE_INTERVAL);
            continue;
        }
        let to = controllers[target % controllers.len()];
        if !post_heartbeat(to, spec, born, seq, layers) {
            target += 1;
        }
        thread::sleep(HEARTBEAT_PERIOD);
    }
}

/// Posts a heartbeat to a controller; returns whether it was acknowledged.
pub(crate) fn post_heartbeat(
    to: SocketAddr,
    spec: &EngineSpec,
    born: Option<u64>,
    seq: u64,
    layers: Option<(u32, u32)>,
) -> bool {
    let layers = layers.map(|(from, to)| json!({"from": from, "to": to, "version": 1}));
    let mut body = json!({
        "service": spec.service, "addr": spec.address.to_string(), "zone": spec.domain,
        "version": "v1", "slots": 8, "state": "ready", "seq": seq, "coldLeftMs": 0,
        "type": "small", "layers": layers,
    });
    if let Some(born) = born {
        body["born"] = born.into();
    }
    post(to, &format!("/v1/Instances.Heartbeat/{}", spec.id), &body)
}

/// Takes addresses as they are. With a timeout, the default resolver starts a thread for each call,
/// which comes late on a busy machine.
#[derive(Debug)]
struct AddressResolver;

impl Resolver for AddressResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _: &Config,
        _: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let address = uri.authority().and_then(|a| a.as_str().parse().ok());
        let mut resolved = self.empty();
        resolved.push(address.ok_or(ureq::Error::HostNotFound)?);
        Ok(resolved)
    }
}

/// Posts to a controller and follows one redirect; returns whether the request was
/// acknowledged.
pub(crate) fn post(to: SocketAddr, path: &str, body: &Value) -> bool {
    let mut uri = format!("http://{to}{path}");
    let config = agent().config().clone();
    let agent = ureq::Agent::with_parts(config, DefaultConnector::default(), AddressResolver);
    for _ in 0..2 {
        let request = agent.post(&uri).config();
        let request = request
            .max_redirects(0)
            .max_redirects_will_error(false)
            .timeout_global(Some(ACK_TIMEOUT))
            .build();
        let sent = request.send(body.to_string());
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
async fn serve(listener: std::net::TcpListener, spec: EngineSpec, state: SharedState) {
    let listener = TcpListener::from_std(listener).unwrap();
    let crash = Arc::new(Notify::new());
    let signal = Arc::clone(&crash);
    state
        .lock()
        .unwrap()
        .crash_signals
        .insert(spec.address, signal);
    loop {
        let (stream, peer) = tokio::select! {
            accepted = listener.accept() => accepted.unwrap(),
            () = crash.notified() => return,
        };
        if state.lock().unwrap().killed.contains(&spec.id) {
            continue;
        }
        let link = state.lock().unwrap().links.of(peer.ip());
        if matches!(link, Some(Cut::Reset | Cut::RefuseNew)) {
            cut::reset(&stream);
            continue;
        }
        let raw = state.lock().unwrap().raw_answer(&spec.id);
        if let Some(raw) = raw
            && !unframed::is_call(&stream).await
        {
            tokio::spawn(raw.send(stream, spec.clone(), Arc::clone(&state)));
            continue;
        }
        let stream = Link::new(stream, peer.ip(), spec.id.clone(), Arc::clone(&state));
        let (spec, state, crash) = (spec.clone(), Arc::clone(&state), Arc::clone(&crash));
        let service = service_fn(move |request: Request<Incoming>| {
            let (spec, state, crash) = (spec.clone(), Arc::clone(&state), Arc::clone(&crash));
            async move {
                let response = serve_request(&spec, &state, &crash, peer.ip(), request);
                Ok::<_, Infallible>(response.await)
            }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

type Body = UnsyncBoxBody<Bytes, &'static str>;

fn full_response(status: u16, body: &str) -> Response<Body> {
    let body = Full::from(body.to_owned()).map_err(|never| match never {});
    let response = Response::builder().status(status);
    response.body(body.boxed_unsync()).unwrap()
}

/// Records a caller's request, and turns it away if the engine sheds load.
async fn serve_request(
    spec: &EngineSpec,
    state: &SharedState,
    crash: &Arc<Notify>,
    source: IpAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    let is_call = request.uri().path().starts_with("/v1/");
    let mut shed = None;
    if !is_call {
        let mut state = state.lock().unwrap();
        shed = state.sheds.get(&spec.id).cloned();
        state.links.record_run(source);
        state.visits.push(Visit {
            engine: spec.id.clone(),
            source,
            at: Instant::now(),
            shed: shed.is_some(),
        });
    }
    let mut response = match shed {
        Some(after) => shed_response(&after),
        None => handle(spec, state, crash, request).await,
    };
    if state.lock().unwrap().leaving.contains(&spec.id) {
        let headers = response.headers_mut();
        headers.insert("server-leaving", "1".parse().unwrap());
    }
    response
}

fn shed_response(after: &str) -> Response<Body> {
    let mut response = full_response(503, "");
    let headers = response.headers_mut();
    headers.insert("x-not-executed", "1".parse().unwrap());
    headers.insert("retry-after", after.parse().unwrap());
    response
}

async fn handle(
    spec: &EngineSpec,
    state: &SharedState,
    crash: &Arc<Notify>,
    request: Request<Incoming>,
) -> Response<Body> {
    let header = |name: &str| {
        let value = request.headers().get(name);
        value.map(|v| v.to_str().unwrap().to_owned())
    };
    if header("x-expect-instance").is_some_and(|id| id != spec.id) {
        return full_response(421, "");
    }
    match request.uri().path() {
        "/v1/order" => return handle_order(spec, state, request).await,
        "/v1/report" => return handle_report(spec, state),
        _ => {}
    }
    let attempt = header("x-attempt-id").expect("an id");
    let class = header("x-priority-class");
    let deadline = header("x-deadline-ms").expect("a deadline");
    let limit = {
        let mut state = state.lock().unwrap();
        let deadline = deadline.parse().expect("a number");
        state.deadlines.insert(attempt.clone(), deadline);
        state
            .classes
            .entry(attempt.clone())
            .or_default()
            .push(class);
        let arrivals = state.arrivals.entry(spec.id.clone()).or_default();
        arrivals.push(Instant::now());
        state.limits.get(&spec.id).copied()
    };
    let path = header("x-hop-count");
    assert!(
        header("x-credential").is_none(),
        "the caller's key was forwarded"
    );
    assert!(
        header("x-tenant").is_some(),
        "the organisation header is missing"
    );
    let last: u64 = header("last-event-id").map_or(0, |l| l.parse().unwrap());
    let organisation = header("x-tenant").unwrap_or_default();
    let prompt = header("x-prefix-hash").unwrap_or_default();
    let is_long = request.uri().path() == LONG_PATH;
    let body = request.into_body().collect().await;
    let Ok(body) = body.map(http_body_util::Collected::to_bytes) else {
        return full_response(400, "");
    };
    let sent = (organisation, String::from_utf8_lossy(&body).into_owned());
    let crash_body = state.lock().unwrap().record_received(sent, &prompt);
    let refused = path.and_then(|p| state.lock().unwrap().check_path(&p, spec.address));
    if let Some(address) = refused {
        let mut response = full_response(503, "");
        let headers = response.headers_mut();
        headers.insert("x-not-executed", "1".parse().unwrap());
        headers.insert("at-server", address.to_string().parse().unwrap());
        return response;
    }
    let fault = {
        let mut state = state.lock().unwrap();
        let repeated = state.record_run(&attempt) > 1;
        let fault = state.faults.get(&spec.id).copied();
        let applies = |f: &Fault| !repeated || *f == Fault::Hang;
        fault.filter(applies).unwrap_or(Fault::None)
    };
    if matches!(fault, Fault::HangOnce | Fault::Hang) {
        std::future::pending::<()>().await;
    }
    if let Some(body) = &crash_body {
        let (crash, state, body) = (Arc::clone(crash), Arc::clone(state), body.clone());
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_DELAY).await;
            state.lock().unwrap().crashes.push((Instant::now(), body));
            crash.notify_one();
        });
    }
    // Engines of plain services crash before they respond.
    if crash_body.is_some() && spec.service != "models" {
        std::future::pending::<()>().await;
    }
    let mut running = Running::begin(state, &spec.id, &attempt, last);
    let work_time = match spec.service {
        "models" => Duration::ZERO,
        _ => state.lock().unwrap().work_time,
    };
    running.work(work_time).await;
    let is_error = matches!(fault, Fault::Error(_));
    running.done = spec.service != "models" || crash_body.is_some() || is_error;
    let mut response = match spec.service {
        "models" if crash_body.is_some() => Response::new(pending_stream()),
        "models" if !is_error => {
            let splits = state.lock().unwrap().splits_events;
            Response::new(event_stream(last, fault, splits, running))
        }
        _ => match fault {
            Fault::Error(status) => full_response(status, "the stock file is locked"),
            _ if is_long => full_response(200, &"x".repeat(LONG_ANSWER)),
            _ => full_response(200, &format!("done by {}", spec.id)),
        },
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

/// Length of the part of an event that an engine sends before the rest.
const EVENT_START: usize = 7;

/// Stream of the events after `last`.
fn event_stream(last: u64, fault: Fault, splits: bool, running: Running) -> Body {
    let text = |id| format!("id: {id}\ndata: token {id}\n\n");
    let next = move |(id, mut running): (u64, Running)| async move {
        running.work(EVENT_INTERVAL).await;
        let reset = matches!(fault, Fault::ResetAfter(limit) if id > limit);
        let mut event = text(id);
        if splits && id > last + 1 {
            event.drain(..EVENT_START);
        }
        if splits && id < STREAM_EVENTS {
            event += &text(id + 1)[..EVENT_START];
        }
        running.done = id >= STREAM_EVENTS || reset;
        if reset {
            running.record_break();
        }
        match (id > STREAM_EVENTS, reset) {
            (true, _) => None,
            // A part of an event, as a crashing engine sends it.
            (_, true) if id.is_multiple_of(2) => {
                let part = event[..EVENT_START].to_owned();
                Some((Ok(Frame::data(part.into())), (id + 1, running)))
            }
            (_, true) => Some((Err("cut"), (id, running))),
            _ => {
                running.record_event();
                Some((Ok(Frame::data(event.into())), (id + 1, running)))
            }
        }
    };
    StreamBody::new(stream::unfold((last + 1, running), next)).boxed_unsync()
}

async fn handle_order(
    spec: &EngineSpec,
    state: &SharedState,
    request: Request<Incoming>,
) -> Response<Body> {
    let body = request.into_body().collect().await.unwrap().to_bytes();
    let order: Value = serde_json::from_slice(&body).unwrap();
    if order["op"] != "place" {
        return full_response(404, "");
    }
    let layer = |name: &str| u32::try_from(order[name].as_u64().unwrap()).unwrap();
    let range = (layer("from"), layer("to"));
    let delay = {
        let mut state = state.lock().unwrap();
        state.pending_orders += 1;
        state.max_pending = state.max_pending.max(state.pending_orders);
        state.order_delay
    };
    tokio::time::sleep(delay).await;
    let mut locked = state.lock().unwrap();
    locked.pending_orders -= 1;
    let busy = locked.is_loading(spec);
    locked.orders.push(Order {
        engine: spec.id.clone(),
        range,
        fence: order["fence"].as_u64().unwrap(),
        busy,
    });
    if busy {
        return full_response(409, "");
    }
    if locked.layers_of(spec) == Some(range) {
        return full_response(200, "");
    }
    if locked.load_time.is_zero() {
        locked.layers.insert(spec.address, range);
    } else {
        locked.loading.insert(spec.address, range);
        let time = locked.load_time;
        tokio::spawn(load(spec.address, range, time, Arc::clone(state)));
    }
    full_response(202, "")
}

async fn load(address: SocketAddr, range: (u32, u32), time: Duration, state: SharedState) {
    tokio::time::sleep(time).await;
    let mut state = state.lock().unwrap();
    // Nothing is being loaded any more if the engine was killed.
    if state.loading.remove(&address).is_some() {
        state.layers.insert(address, range);
    }
}

fn handle_report(spec: &EngineSpec, state: &SharedState) -> Response<Body> {
    let state = state.lock().unwrap();
    let layers = state.layers_of(spec);
    let layers = layers.map(|(from, to)| json!({"from": from, "to": to, "version": 1}));
    let report = json!({"layers": layers, "busy": state.is_loading(spec), "stalled": []});
    full_response(200, &report.to_string())
}
