//! Instances that lose their links to all engines, while callers, controllers and the other
//! instances still reach them.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::common::wait_for;
use crate::cut::Cut;
use crate::deployment::{Deployment, HOST, KEY};
use crate::engine::expected_stream;

/// Time after the cut began from which the cut instances must serve again.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time for which requests are counted.
const MEASURE_TIME: Duration = Duration::from_secs(4);

const CALLERS: usize = 24;

/// First tries at instances of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    tried: usize,
    served: usize,
}

impl Tally {
    fn add(self, other: Self) -> Self {
        Self {
            tried: self.tried + other.tried,
            served: self.served + other.served,
        }
    }

    fn share(self) -> f64 {
        self.served as f64 / self.tried.max(1) as f64
    }
}

/// Sends requests in turn to all instances until `done`. Returns the tallies of those in `cut`
/// and of the others, over requests that were sent later than [`CONTACT_TIME`] after `began`.
fn send(
    deployment: &Deployment,
    caller: usize,
    cut: usize,
    began: Instant,
    done: &AtomicBool,
) -> [Tally; 2] {
    let mut tallies = [Tally::default(); 2];
    for number in 0.. {
        if done.load(Ordering::Relaxed) {
            break;
        }
        let entry = (caller * 31 + number) % deployment.entries.len();
        let path = ["/letters/x", "/lookups/x", "/bookings/x"][number % 3];
        let attempt = format!("{caller}-{number}");
        let counts = began.elapsed() >= CONTACT_TIME;
        let (status, body) = deployment.request(entry, path, &attempt, KEY);
        let whole = path != "/letters/x" || body == expected_stream();
        if counts {
            let tally = &mut tallies[usize::from(entry >= cut)];
            tally.tried += 1;
            tally.served += usize::from(status == 200 && whole);
        }
        let runs = deployment.engine_state().runs(&attempt);
        assert!(runs <= 1 || path != "/bookings/x", "{attempt}: {runs} runs");
        assert!(
            status != 503 || runs == 0,
            "{attempt}: not run {runs} times"
        );
        thread::sleep(Duration::from_millis(10));
    }
    tallies
}

/// Addresses from which the first `count` entry instances connect.
fn sources(deployment: &Deployment, count: usize) -> Vec<Ipv4Addr> {
    (0..count).map(|i| deployment.entry_ip(i)).collect()
}

/// Guards against refusing the callers of instances that lost their links to all engines, while
/// other instances could pass the requests on.
#[rstest]
#[case::hang_of_nine(Cut::Hang, 9, 6)]
#[case::reset_of_nine(Cut::Reset, 9, 6)]
#[case::refuse_new_of_nine(Cut::RefuseNew, 9, 2)]
#[case::hang_of_hundreds(Cut::Hang, 300, 250)]
fn callers_of_cut_instances_served(#[case] kind: Cut, #[case] entries: usize, #[case] cut: usize) {
    let deployment = Deployment::with_size(entries, &[4, 4]);
    let done = AtomicBool::new(false);
    let [lost, others] = thread::scope(|scope| {
        let (deployment, done) = (&deployment, &done);
        let began = Instant::now();
        deployment
            .engine_state()
            .links
            .cut(kind, &sources(deployment, cut));
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| scope.spawn(move || send(deployment, caller, cut, began, done)))
            .collect();
        thread::sleep(CONTACT_TIME + MEASURE_TIME);
        done.store(true, Ordering::Relaxed);
        let tallies = callers.into_iter().map(|c| c.join().unwrap());
        let zero = [Tally::default(); 2];
        tallies.fold(zero, |[a, b], [c, d]| [a.add(c), b.add(d)])
    });
    assert!(
        lost.tried >= 30 && others.tried >= 30,
        "{lost:?}, {others:?}"
    );
    assert!(others.share() > 0.9, "uncut instances: {others:?}");
    let failed = lost.tried - lost.served;
    let allowed = 10 + (lost.tried + others.tried) / 50;
    assert!(
        lost.share() >= others.share() * 2.0 / 3.0 && failed <= allowed,
        "cut instances {lost:?}, others {others:?}"
    );
    deployment.engine_state().links.restore();
    wait_for(
        "a request to an engine from an instance whose links are back",
        || {
            deployment.request(0, "/letters/x", "back", KEY);
            let source = IpAddr::V4(deployment.entry_ip(0));
            deployment
                .engine_state()
                .links
                .has_run(source)
                .then_some(())
        },
    );
}

/// Guards against running a request twice, or refusing one that has run, when instances that carry
/// it are killed, frozen or stopped.
#[test]
fn carriers_fail() {
    const CUT: usize = 5;
    let mut deployment = Deployment::with_size(9, &[4, 4]);
    let done = AtomicBool::new(false);
    let mut carriers = deployment.entries.split_off(CUT);
    let lost = thread::scope(|scope| {
        let (deployment, done) = (&deployment, &done);
        let began = Instant::now();
        let cut = sources(deployment, CUT);
        deployment.engine_state().links.cut(Cut::Hang, &cut);
        // Only the cut instances have callers: `send` turns to the entries that are left.
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| scope.spawn(move || send(deployment, caller, CUT, began, done)[0]))
            .collect();
        thread::sleep(Duration::from_secs(1));
        carriers[0].kill();
        carriers[1].freeze();
        carriers[2].terminate();
        thread::sleep(Duration::from_secs(2));
        carriers[1].thaw();
        thread::sleep(CONTACT_TIME + MEASURE_TIME);
        done.store(true, Ordering::Relaxed);
        let tallies = callers.into_iter().map(|c| c.join().unwrap());
        tallies.fold(Tally::default(), Tally::add)
    });
    assert!(lost.tried >= 30, "{lost:?}");
    assert!(lost.share() >= 2.0 / 3.0, "cut instances {lost:?}");
}

/// Guards against an engine that works on for a caller that has left, where another instance
/// carries the request: both connections must be closed.
#[test]
fn caller_leaves_carried_stream() {
    let deployment = Deployment::with_size(2, &[4, 4]);
    let cut = sources(&deployment, 1);
    deployment.engine_state().links.cut(Cut::Hang, &cut);
    wait_for("a carried stream", || {
        let (status, body) = deployment.request(0, "/letters/x", "carried", KEY);
        (status == 200 && body == expected_stream()).then_some(())
    });
    let before = deployment.engine_state().abandoned();
    wait_for("an abandoned stream", || {
        let mut caller = TcpStream::connect(deployment.caller_addr(0)).unwrap();
        let head = format!(
            "POST /letters/x HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: left\r\n\
             x-credential: {KEY}\r\nx-token-usage: 20,30\r\nx-deadline-ms: 20000\r\n\
             content-length: 0\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).unwrap();
        let mut part = [0; 256];
        assert!(caller.read(&mut part).unwrap() > 0, "no response");
        drop(caller);
        thread::sleep(Duration::from_millis(300));
        (deployment.engine_state().abandoned() > before).then_some(())
    });
}

/// Retries that an entry instance has left for the plain service.
fn retries_left(deployment: &Deployment, entry: usize) -> f64 {
    let metrics = deployment.metrics();
    let of_entry = &metrics[deployment.controllers.len() + entry];
    let mut lines = of_entry.lines();
    let value = lines.find_map(|l| l.strip_prefix("entry_retries_left{service=\"desk\"} "));
    value.expect("the metric").parse().expect("a number")
}

/// Guards against spending the retries that the operator allows on connections that reached no
/// upstream: an instance that lost its links had none left for its callers after half a second.
#[test]
fn failed_connects_spend_no_retries() {
    // Alone, so that no other instance carries the requests.
    let deployment = Deployment::with_size(1, &[4, 4]);
    let before = retries_left(&deployment, 0);
    deployment
        .engine_state()
        .links
        .cut(Cut::Hang, &sources(&deployment, 1));
    thread::scope(|scope| {
        for i in 0..CALLERS {
            let deployment = &deployment;
            scope.spawn(move || deployment.request(0, "/lookups/x", &format!("s-{i}"), KEY));
        }
    });
    let after = retries_left(&deployment, 0);
    // Each request adds a share of a retry.
    let gained = (after - before) / CALLERS as f64;
    assert!(gained > 0.14, "{before} retries left before, {after} after");
}
