//! The open connections between the machines go silent for good, again and again, while new ones work.
//! The leading controller never closes its ends, until it has no descriptors left and accepts nobody.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::engine::{Engine, Runs, sound};
use crate::fleet::{Fleet, Role, Sheet, descriptors};
use crate::record::Record;

/// Port of the proxies before the controllers.
const PROXY: u16 = 7_341;

/// Time between two silences, and the most of them.
const PERIOD: Duration = Duration::from_millis(1_700);
const SILENCES: u32 = 47;

/// Time for which the deployment is watched after the last one.
const WATCH: Duration = Duration::from_secs(10);

const DEADLINE_MS: u64 = 1_500;

/// `kouv-lbq-grown`: 87 entries.
fn sheet() -> Sheet {
    Sheet {
        controllers: 5,
        entries: 87,
        entry_memory: 160,
        entry_descriptors: 4_100,
        entry_peers: PROXY,
        contact: Duration::from_secs(4),
        ack: Duration::from_secs(5),
    }
}

/// Connections through the proxies.
#[derive(Default)]
struct Links {
    /// One flag a connection: whether it is silent.
    open: Mutex<Vec<Arc<AtomicBool>>>,
    /// Ends of silent connections at the controllers; they stay open.
    held: Mutex<Vec<TcpStream>>,
}

impl Links {
    /// Silences all connections that are open now. Returns their number.
    fn silence(&self) -> usize {
        let silenced = std::mem::take(&mut *self.open.lock().unwrap());
        silenced
            .iter()
            .for_each(|s| s.store(true, Ordering::Relaxed));
        silenced.len()
    }

    fn listen(self: &Arc<Self>, at: SocketAddr, to: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(at)?;
        let links = Arc::clone(self);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
                    continue;
                };
                let _ = links.join(near, far);
            }
        });
        Ok(())
    }

    fn join(self: &Arc<Self>, near: TcpStream, far: TcpStream) -> std::io::Result<()> {
        let silent = Arc::new(AtomicBool::new(false));
        self.open.lock().unwrap().push(Arc::clone(&silent));
        for stream in [&near, &far] {
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(Duration::from_millis(100)))?;
        }
        let (near_out, far_out) = (near.try_clone()?, far.try_clone()?);
        let (links, flag) = (Arc::clone(self), Arc::clone(&silent));
        let spawn = || thread::Builder::new().stack_size(128 << 10);
        spawn().spawn(move || pump(near, far_out, &silent, None))?;
        spawn().spawn(move || pump(far, near_out, &flag, Some(&links)))?;
        Ok(())
    }
}

/// Passes bytes on until the connection ends or falls silent. With `links`, `from` is the end at the
/// controller, which then stays open; the other one is read to its end.
fn pump(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool, links: Option<&Links>) {
    let mut buffer = [0; 16 << 10];
    loop {
        let is_silent = silent.load(Ordering::Relaxed);
        if is_silent && let Some(links) = links {
            links.held.lock().unwrap().push(from);
            return;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            // What is sent on a silent connection is lost.
            Ok(_) if is_silent => {}
            Ok(read) => {
                if to.write_all(&buffer[..read]).is_err() {
                    break;
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    if !silent.load(Ordering::Relaxed) {
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}

/// Sends a request to each entry, and returns how many are served.
fn served(fleet: &Fleet, round: u32) -> usize {
    let entries = 0..fleet.sheet.entries;
    thread::scope(|scope| {
        let request = |entry: u8| {
            scope.spawn(move || {
                let id = format!("51c0de{round:04x}{entry:04x}");
                fleet.request(entry, "/orders/2f", &id, DEADLINE_MS).status == 200
            })
        };
        let running: Vec<_> = entries.map(request).collect();
        let answers = running.into_iter().map(|r| r.join().unwrap_or(false));
        answers.filter(|ok| *ok).count()
    })
}

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let Some(mut fleet) = Fleet::new(sheet()) else {
        return Outcome::NotRun("no free addresses");
    };
    let links = Arc::new(Links::default());
    for i in 0..fleet.sheet.controllers {
        let to = fleet.peer_address(i);
        let at = SocketAddr::new(to.ip(), PROXY);
        if links.listen(at, to).is_err() {
            return Outcome::NotRun("a proxy couldn't listen");
        }
    }
    fleet.start();
    if fleet.replace(Duration::from_secs(10)).is_none() {
        return Outcome::NotRun("the first configuration wasn't acknowledged");
    }
    let runs = Arc::new(Mutex::new(Runs::default()));
    for i in 0..6 {
        let service = if i < 3 { "lbq-models" } else { "orderdesk" };
        let (address, controls) = (fleet.engine_address(i), fleet.controls());
        if Engine::start(i, service, address, controls, Arc::clone(&runs), sound()).is_err() {
            return Outcome::NotRun("an engine couldn't listen");
        }
    }
    if !fleet.await_service(Duration::from_secs(20)) {
        return Outcome::NotRun("the entries didn't serve");
    }
    let all = usize::from(fleet.sheet.entries);
    record.line(&format!(
        "{all} entries, 5 controllers, 3 + 3 engines serve"
    ));
    for round in 1..=SILENCES {
        let silenced = if trouble { links.silence() } else { 0 };
        thread::sleep(PERIOD);
        if round % 6 == 0 || round == SILENCES {
            let ids: Vec<u32> = (0..5).map(|i| fleet.id(Role::Controller, i)).collect();
            let open: Vec<usize> = ids.into_iter().map(descriptors).collect();
            record.line(&format!(
                "silence {round}: {silenced} connections; {} of {all} entries serve; open \
                 descriptors of the controllers {open:?}, of 4096 each",
                served(&fleet, round)
            ));
        }
    }
    record.line("no more disruptions from here on");
    thread::sleep(fleet.sheet.contact + Duration::from_secs(1));
    watch(record, &mut fleet)
}

/// Watches the calm deployment: the operator sends a configuration, and clients send requests.
fn watch(record: &Record, fleet: &mut Fleet) -> Outcome {
    let ack = fleet.sheet.ack;
    let acked = fleet.replace(WATCH);
    record.line(&match acked {
        Some(took) => format!("a valid configuration was acknowledged after {took:.1?}"),
        None => format!("a valid configuration had no acknowledgement after {WATCH:.1?}"),
    });
    let began = Instant::now();
    let (ok, ready) = (served(fleet, 9_999), {
        let ready = (0..fleet.sheet.entries).filter(|i| fleet.is_ready(*i));
        ready.count()
    });
    let (all, all_run) = (fleet.sheet.entries, fleet.all_run());
    record.line(&format!(
        "{ok} of {all} entries serve a request, {ready} say that they are ready (asked for {:.1?}); \
         all processes run: {all_run}",
        began.elapsed(),
    ));
    match acked {
        Some(took) if took <= ack => Outcome::Held,
        _ => Outcome::Broken,
    }
}
