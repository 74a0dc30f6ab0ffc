//! Emulator of model engines and plain services for tests, trials and the quick
//! start. It implements the protocol of docs/UPSTREAMS.md, counts what it
//! executes (`GET /emulator/executions`) and injects faults on request
//! (`POST /emulator/fault`).
//!
//! Prints `ready ADDRESS` for each upstream. On SIGTERM it announces
//! `leaving`, waits for the running work to end, announces `gone`, logs
//! `gone TOTALS` and exits with 0.

mod announce;
mod count;
mod engine;
mod fault;
mod model;
mod protocol;
mod server;
mod spec;
mod upstream;

use std::process::ExitCode;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;

use spec::Spec;
use upstream::Upstream;

fn main() -> ExitCode {
    let matches = spec::command().get_matches();
    let threads = matches
        .get_one::<String>("threads")
        .and_then(|text| text.parse().ok())
        .unwrap_or(2);
    let outcome = spec::parse_specs(&matches).and_then(|specs| {
        Builder::new_multi_thread()
            .worker_threads(threads)
            .enable_all()
            .build()
            .map_err(|e| e.to_string())?
            .block_on(run(specs))
            .map_err(|e| e.to_string())
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("emulator: {text}");
            ExitCode::FAILURE
        }
    }
}

async fn run(specs: Vec<Spec>) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let (stop, stopped) = watch::channel(false);
    let mut announcers = JoinSet::new();
    for spec in specs {
        let listener = TcpListener::bind(spec.listen).await?;
        let address = listener.local_addr()?;
        let upstream = Arc::new(Upstream::new(spec, address)?);
        println!("ready {address}");
        tokio::spawn(server::serve(upstream.clone(), listener));
        announcers.spawn(announce::Announcer::new(upstream).run(stopped.clone()));
    }
    terminate.recv().await;
    let _ = stop.send(true);
    while announcers.join_next().await.is_some() {}
    Ok(())
}
