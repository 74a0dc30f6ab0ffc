//! The commands that ask a running instance.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::ArgMatches;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::catalogue::{
    Change, Entry, EntryKey, Expect, Kind, Listing, Operation, Organisation, Outcome, PastChange,
    Pool, Record, Route, digest,
};
use crate::dump;
use crate::error::{
    CatalogueFileSnafu, Error, OutputSnafu, ReadFileSnafu, RefusedSnafu, Result, UnreachableSnafu,
};
use crate::platform::call;

/// Longest wait for an answer.
const LIMIT: Duration = Duration::from_secs(15);

/// Maximum number of controllers asked; each may redirect to the leader that it knows.
const MOST_REDIRECTS: usize = 4;

/// Largest answer, in bytes.
const MAX_ANSWER: u64 = 256 << 20;

/// A TOML file of catalogue entries.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    organisation: Vec<Organisation>,
    #[serde(default)]
    pool: Vec<Pool>,
    #[serde(default)]
    route: Vec<Route>,
}

/// Connection to the control address of one instance.
struct Client {
    target: String,
    key: String,
    agent: ureq::Agent,
}

/// An answer of an instance.
struct Answer {
    status: u16,
    /// `Location` header: where another instance answers the same call.
    location: Option<String>,
    body: String,
}

impl Client {
    fn new(matches: &ArgMatches) -> Result<Self> {
        let path = matches
            .get_one::<PathBuf>("operator-key-file")
            .expect("the command line demands it");
        let key = fs::read_to_string(path).context(ReadFileSnafu { path })?;
        Ok(Self {
            key: key.trim().to_owned(),
            ..Self::without_key(text(matches, "target").to_owned())
        })
    }

    /// A client for calls to a controller, which require no key.
    fn without_key(target: String) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(LIMIT))
            .http_status_as_error(false)
            .max_redirects(0)
            .build();
        Self {
            target,
            key: String::new(),
            agent: config.into(),
        }
    }

    fn get(&self, path: &str) -> Result<Answer> {
        let call = self
            .agent
            .get(format!("http://{}{path}", self.target))
            .header("Authorization", format!("Bearer {}", self.key))
            .call();
        self.answer(call)
    }

    fn post(&self, path: &str, body: &impl serde::Serialize) -> Result<Answer> {
        let call = self
            .agent
            .post(format!("http://{}{path}", self.target))
            .header("Authorization", format!("Bearer {}", self.key))
            .send_json(body);
        self.answer(call)
    }

    /// Sends a request without a body.
    fn send(&self, path: &str, remove: bool) -> Result<String> {
        let uri = format!("http://{}{path}", self.target);
        let key = format!("Bearer {}", self.key);
        let call = if remove {
            self.agent.delete(uri).header("Authorization", key).call()
        } else {
            self.agent
                .put(uri)
                .header("Authorization", key)
                .send_empty()
        };
        let answer = self.answer(call)?;
        if answer.status == 200 {
            return Ok(answer.body);
        }
        self.refused(&answer)
    }

    fn answer(
        &self,
        call: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<Answer> {
        let unreachable = |e: ureq::Error| Error::Unreachable {
            target: self.target.clone(),
            reason: e.to_string(),
        };
        let mut response = call.map_err(unreachable)?;
        let status = response.status().as_u16();
        let location = response.headers().get("location");
        let location = location.and_then(|l| Some(l.to_str().ok()?.to_owned()));
        let body = response
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER)
            .read_to_string()
            .map_err(unreachable)?;
        Ok(Answer {
            status,
            location,
            body,
        })
    }

    fn fetch(&self, path: &str) -> Result<String> {
        let answer = self.get(path)?;
        if answer.status == 200 {
            return Ok(answer.body);
        }
        self.refused(&answer)
    }

    fn refused<T>(&self, answer: &Answer) -> Result<T> {
        RefusedSnafu {
            target: &self.target,
            status: answer.status,
            message: answer.body.trim(),
        }
        .fail()
    }

    fn parse<T: DeserializeOwned>(&self, body: &str) -> Result<T> {
        serde_json::from_str(body).map_err(|e| {
            UnreachableSnafu {
                target: &self.target,
                reason: format!("its answer isn't this release's: {e}"),
            }
            .build()
        })
    }
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches
        .get_one::<String>(name)
        .expect("the command line demands it")
}

fn key(matches: &ArgMatches) -> EntryKey {
    EntryKey {
        kind: Kind::parse(text(matches, "kind")).expect("the command line checks it"),
        name: text(matches, "name").to_owned(),
    }
}

/// Runs `laburnumquay catalogue ...`.
///
/// # Errors
///
/// When the instance can't be reached or refuses, or the file is wrong.
pub(crate) fn catalogue(matches: &ArgMatches, out: &mut dyn Write) -> Result<()> {
    let (name, matches) = matches.subcommand().expect("the command line demands one");
    let client = Client::new(matches)?;
    let json = matches.get_flag("json");
    match name {
        "list" => list(&client, json, out),
        "get" => get(&client, &key(matches), json, out),
        "history" => history(&client, json, out),
        "apply" => {
            let path = matches
                .get_one::<PathBuf>("file")
                .expect("the command line demands it");
            let expect = expect(matches, Expect::Catalogue);
            submit(&client, matches, read(path)?, expect, out)
        }
        "retire" => {
            let operations = vec![Operation::Retire(key(matches))];
            submit(
                &client,
                matches,
                operations,
                expect(matches, Expect::Entry),
                out,
            )
        }
        other => unreachable!("the command line has no catalogue command {other}"),
    }
}

/// Runs `laburnumquay voters ...`.
///
/// # Errors
///
/// When the instance can't be reached or refuses.
pub(crate) fn voters(matches: &ArgMatches, out: &mut dyn Write) -> Result<()> {
    let (name, matches) = matches.subcommand().expect("the command line demands one");
    let client = Client::new(matches)?;
    if name == "list" {
        let body = client.fetch("/v1/voters")?;
        if matches.get_flag("json") {
            return print(out, &body);
        }
        let groups: serde_json::Value = client.parse(&body)?;
        return print(out, dump::lines(&groups).trim_end());
    }
    let instance = matches
        .get_one::<u64>("instance")
        .expect("the command line demands it");
    let path = format!("/v1/voters/{instance}");
    print(out, &client.send(&path, name == "remove")?)
}

/// Runs `laburnumquay state`.
///
/// # Errors
///
/// When the instance can't be reached or refuses.
pub(crate) fn state(matches: &ArgMatches, out: &mut dyn Write) -> Result<()> {
    let client = Client::new(matches)?;
    let path = if matches.get_flag("json") {
        "/v1/state"
    } else {
        "/v1/state?form=text"
    };
    print(out, client.fetch(path)?.trim_end())
}

/// Runs `laburnumquay quarantine ...`.
///
/// # Errors
///
/// When the controller can't be reached or refuses.
pub(crate) fn quarantine(matches: &ArgMatches, out: &mut dyn Write) -> Result<()> {
    let (name, matches) = matches.subcommand().expect("the command line demands one");
    let controller = matches
        .get_one::<SocketAddr>("controller")
        .expect("the command line demands it");
    let client = Client::without_key(controller.to_string());
    if name == "list" {
        return print(out, &client.fetch(call::QUARANTINE_LIST)?);
    }
    let path = call::lift_path(text(matches, "fingerprint"));
    let mut target = format!("http://{controller}{path}");
    for _ in 0..MOST_REDIRECTS {
        let answer = client.answer(client.agent.post(&target).send_empty())?;
        match answer.location {
            Some(location) => target = location,
            None if answer.status == 200 => return Ok(()),
            None => return client.refused(&answer),
        }
    }
    UnreachableSnafu {
        target,
        reason: "no controller answers as the leader; try again",
    }
    .fail()
}

/// Runs `laburnumquay digest`.
///
/// # Errors
///
/// When the file can't be read.
pub(crate) fn secret_digest(matches: &ArgMatches, out: &mut dyn Write) -> Result<()> {
    let path = matches
        .get_one::<PathBuf>("file")
        .expect("the command line demands it");
    let secret = fs::read_to_string(path).context(ReadFileSnafu { path })?;
    print(out, &digest(secret.trim()))
}

fn print(out: &mut dyn Write, line: &str) -> Result<()> {
    writeln!(out, "{line}").context(OutputSnafu)
}

fn list(client: &Client, json: bool, out: &mut dyn Write) -> Result<()> {
    let body = client.fetch("/v1/catalogue")?;
    if json {
        return print(out, &body);
    }
    let listed: Listing = client.parse(&body)?;
    print(out, &format!("revision {}", listed.revision))?;
    listed.records.iter().try_for_each(|r| print(out, &line(r)))
}

fn get(client: &Client, key: &EntryKey, json: bool, out: &mut dyn Write) -> Result<()> {
    let body = client.fetch(&format!("/v1/catalogue/{}/{}", key.kind, key.name))?;
    if json {
        return print(out, &body);
    }
    let record: Record = client.parse(&body)?;
    print(out, &line(&record))
}

fn line(record: &Record) -> String {
    let detail = match record.entry.as_ref() {
        Entry::Organisation(o) => format!("{} keys", o.keys.len()),
        Entry::Pool(_) => "one credential".to_owned(),
        Entry::Route(r) => format!(
            "owner {} target {:?} class {:?} pools {} idempotent {} limits {:?}",
            r.organisation,
            r.target,
            r.class,
            r.pools.join(","),
            r.idempotent,
            r.limits
        ),
    };
    format!("{} @{} {detail}", record.entry.key(), record.revision)
}

fn history(client: &Client, json: bool, out: &mut dyn Write) -> Result<()> {
    let body = client.fetch("/v1/catalogue/history")?;
    if json {
        return print(out, &body);
    }
    let past: Vec<PastChange> = client.parse(&body)?;
    past.iter()
        .try_for_each(|p| print(out, &format!("{} {:?}", p.id, p.outcome)))
}

fn expect(matches: &ArgMatches, form: fn(u64) -> Expect) -> Expect {
    matches
        .get_one::<u64>("expect")
        .map_or(Expect::Any, |revision| form(*revision))
}

fn read(path: &Path) -> Result<Vec<Operation>> {
    let text = fs::read_to_string(path).context(ReadFileSnafu { path })?;
    let file: File = toml::from_str(&text).map_err(|e| {
        CatalogueFileSnafu {
            path,
            reason: e.to_string(),
        }
        .build()
    })?;
    let organisations = file.organisation.into_iter().map(Entry::Organisation);
    let pools = file.pool.into_iter().map(Entry::Pool);
    let routes = file.route.into_iter().map(Entry::Route);
    Ok(organisations
        .chain(pools)
        .chain(routes)
        .map(Operation::Put)
        .collect())
}

fn submit(
    client: &Client,
    matches: &ArgMatches,
    operations: Vec<Operation>,
    expect: Expect,
    out: &mut dyn Write,
) -> Result<()> {
    let id = matches
        .get_one::<String>("change-id")
        .cloned()
        .unwrap_or_else(|| format!("cli-{:016x}", rand::random::<u64>()));
    let change = Change {
        id,
        expect,
        operations,
    };
    let answer = client.post("/v1/catalogue/changes", &change);
    // Without the id a resend would count as another change.
    if answer.as_ref().map_or(true, |a| a.status >= 500) {
        eprintln!("change id {}: resend with --change-id", change.id);
    }
    let answer = answer?;
    if answer.status != 200 {
        return client.refused(&answer);
    }
    if matches.get_flag("json") {
        return print(out, &answer.body);
    }
    match client.parse(&answer.body)? {
        Outcome::Accepted { revision } => print(
            out,
            &format!("accepted at revision {revision} (change {})", change.id),
        ),
        other => print(out, &format!("{other:?}")),
    }
}
