//! Cuts between some instances and all engines. The instances are told apart by the address from
//! which they connect.

use std::collections::{HashMap, HashSet};
use std::io::{Error, ErrorKind, Result};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::engine::SharedState;

/// Interval at which a held connection checks whether its cut or pause has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What happens to the connections of a cut instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cut {
    /// Nothing passes: new ones don't open, open ones are silent.
    Hang,
    /// Open and new ones are reset.
    Reset,
    /// Open ones live on, new ones are reset.
    RefuseNew,
}

/// The present cut.
#[derive(Default)]
pub(crate) struct Links {
    cut: Option<(Cut, HashSet<IpAddr>)>,
    listeners: HashMap<SocketAddr, TcpListener>,
    /// Addresses from which requests came since the links were restored.
    sources: HashSet<IpAddr>,
}

impl Links {
    /// Adds a duplicate of the listener of an engine.
    pub(crate) fn add(&mut self, address: SocketAddr, listener: TcpListener) {
        self.listeners.insert(address, listener);
    }

    /// Closes the listener of an engine that ended.
    pub(crate) fn remove(&mut self, address: SocketAddr) {
        self.listeners.remove(&address);
    }

    /// Cuts the links from these instances to all engines.
    pub(crate) fn cut(&mut self, cut: Cut, sources: &[Ipv4Addr]) {
        if cut == Cut::Hang {
            let filter = drop_packets(sources);
            for listener in self.listeners.values() {
                let attached = SockRef::from(listener).attach_filter(&filter);
                attached.expect("attach the packet filter");
            }
        }
        let sources = sources.iter().map(|ip| IpAddr::V4(*ip));
        self.cut = Some((cut, sources.collect()));
    }

    /// Restores all links.
    pub(crate) fn restore(&mut self) {
        self.cut = None;
        self.sources.clear();
        for listener in self.listeners.values() {
            let _ = SockRef::from(listener).detach_filter();
        }
    }

    /// Records that a request came from an address.
    pub(crate) fn record_run(&mut self, source: IpAddr) {
        self.sources.insert(source);
    }

    /// Whether a request came from an address since the links were restored.
    pub(crate) fn has_run(&self, source: IpAddr) -> bool {
        self.sources.contains(&source)
    }

    /// The cut between the engines and an instance, if there is one.
    pub(crate) fn of(&self, source: IpAddr) -> Option<Cut> {
        let (cut, sources) = self.cut.as_ref()?;
        sources.contains(&source).then_some(*cut)
    }
}

/// A packet filter that drops what comes from these addresses. In classic BPF, each is compared
/// with the source address of the IP header.
fn drop_packets(sources: &[Ipv4Addr]) -> Vec<SockFilter> {
    const LOAD_WORD: u16 = 0x20;
    const JUMP_EQUAL: u16 = 0x15;
    const RETURN: u16 = 0x06;
    const SOURCE_ADDRESS: u32 = 0xfff0_0000 + 12;
    let mut filter = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_ADDRESS)];
    for source in sources {
        filter.push(SockFilter::new(JUMP_EQUAL, 0, 1, u32::from(*source)));
        filter.push(SockFilter::new(RETURN, 0, 0, 0));
    }
    filter.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    filter
}

/// Resets a connection.
pub(crate) fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// A connection to an engine that is subject to cuts and to the engine's pauses.
pub(crate) struct Link {
    stream: TcpStream,
    source: IpAddr,
    engine: String,
    state: SharedState,
    pause: Option<Pin<Box<Sleep>>>,
}

impl Link {
    pub(crate) fn new(
        stream: TcpStream,
        source: IpAddr,
        engine: String,
        state: SharedState,
    ) -> Self {
        Self {
            stream,
            source,
            engine,
            state,
            pause: None,
        }
    }

    /// Ready once the cut and the pause, if any, let bytes pass.
    fn poll_open(&mut self, cx: &mut Context<'_>) -> Poll<Result<()>> {
        loop {
            if let Some(pause) = &mut self.pause {
                ready!(pause.as_mut().poll(cx));
                self.pause = None;
            }
            let (cut, paused) = {
                let state = self.state.lock().unwrap();
                let paused = state.pauses.is_paused(&self.engine);
                (state.links.of(self.source), paused)
            };
            match cut {
                _ if paused => self.pause = Some(Box::pin(sleep(POLL_INTERVAL))),
                Some(Cut::Hang) => self.pause = Some(Box::pin(sleep(POLL_INTERVAL))),
                Some(Cut::Reset) => {
                    reset(&self.stream);
                    return Poll::Ready(Err(Error::from(ErrorKind::ConnectionReset)));
                }
                Some(Cut::RefuseNew) | None => return Poll::Ready(Ok(())),
            }
        }
    }
}

impl AsyncRead for Link {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        ready!(self.poll_open(cx))?;
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Link {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        ready!(self.poll_open(cx))?;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
