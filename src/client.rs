//! Commands that query or change a running instance.

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

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of controllers tried; each may redirect to the leader that it knows.
const MAX_REDIRECTS: usize = 4;

/// Maximum size of a response, in bytes.
const MAX_RESPONSE: u64 = 256 << 20;

/// TOML file of catalogue entries.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CatalogueFile {
    #[serde(default)]
    organisation: Vec<Organisation>,
    #[serde(default)]
    pool: Vec<Pool>,
    #[serde(default)]
    route: Vec<Route>,
}

/// HTTP client for the control address of an instance.
struct Client {
    target: String,
    key: String,
    agent: ureq::Agent,
}

/// Response of an instance.
struct Answer {
    status: u16,
    /// `Location` header: URL at which another instance answers the same call.
    location: Option<String>,
    body: String,
}

impl Client {
    fn new(matches: &ArgMatches) -> Result<Self> {
        let path = matches
            .get_one::<PathBuf>("operator-key-file")
            .expect("clap requires it");
        let key = fs::read_to_string(path).context(ReadFileSnafu { path })?;
        Ok(Self {
            key: key.trim().to_owned(),
            ..Self::without_key(text_arg(matches, "target").to_owned())
        })
    }

    /// Creates a client for calls to a controller, which require no key.
    fn without_key(target: String) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
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
        self.read_answer(call)
    }

    fn post(&self, path: &str, body: &impl serde::Serialize) -> Result<Answer> {
        let call = self
            .agent
            .post(format!("http://{}{path}", self.target))
            .header("Authorization", format!("Bearer {}", self.key))
            .send_json(body);
        self.read_answer(call)
    }

    /// Sends a DELETE or PUT request without a body. Returns the body of the response.
    fn send(&self, path: &str, remove: bool) -> Result<String> {
        let uri = format!("http://{}{path}", self.target);
        let bearer = format!("Bearer {}", self.key);
        let call = if remove {
            self.agent
                .delete(uri)
                .header("Authorization", bearer)
                .call()
        } else {
            self.agent
                .put(uri)
                .header("Authorization", bearer)
                .send_empty()
        };
        let answer = self.read_answer(call)?;
        if answer.status == 200 {
            return Ok(answer.body);
        }
        self.status_error(&answer)
    }

    fn read_answer(
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
            .limit(MAX_RESPONSE)
            .read_to_string()
            .map_err(unreachable)?;
        Ok(Answer {
            status,
            location,
            body,
        })
    }

    /// Sends a GET request. Returns the body of a successful response.
    fn fetch(&self, path: &str) -> Result<String> {
        let answer = self.get(path)?;
        if answer.status == 200 {
            return Ok(answer.body);
        }
        self.status_error(&answer)
    }

    /// Returns [`Error::Refused`] for a response without the expected status; never `Ok`.
    fn status_error<T>(&self, answer: &Answer) -> Result<T> {
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

fn text_arg<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).expect("clap requires it")
}

fn entry_key(matches: &ArgMatches) -> EntryKey {
    EntryKey {
        kind: Kind::parse(text_arg(matches, "kind")).expect("clap validates it"),
        name: text_arg(matches, "name").to_owned(),
    }
}

/// Runs `laburnumquay catalogue ...`.
///
/// # Errors
///
/// If the instance can't be reached or refuses the request, or the file is invalid.
pub(crate) fn catalogue(matches: &ArgMatches, out: &mut dyn Write) -> Result<()> {
    let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
    let client = Client::new(matches)?;
    let json = matches.get_flag("json");
    match name {
        "list" => list(&client, json, out),
        "get" => get(&client, &entry_key(matches), json, out),
        "history" => history(&client, json, out),
        "apply" => {
            let path = matches
                .get_one::<PathBuf>("file")
                .expect("clap requires it");
            let expect = expectation(matches, Expect::Catalogue);
            submit(&client, matches, read_entries(path)?, expect, out)
        }
        "retire" => {
            let operations = vec![Operation::Retire(entry_key(matches))];
            submit(
                &client,
                matches,
                operations,
                expectation(matches, Expect::Entry),
                out,
            )
        }
        other => unreachable!("the command line has no catalogue subcommand {other}"),
    }
}

/// Runs `laburnumquay voters ...`.
///
/// # Errors
///
/// If the instance can't be reached or refuses the request.
pub(crate) fn voters(matches: &ArgMatches, out: &mut dyn Write) -> Result<()> {
    let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
    let client = Client::new(matches)?;
    if name == "list" {
        let body = client.fetch("/v1/voters")?;
        if matches.get_flag("json") {
            return print_line(out, &body);
        }
        let groups: serde_json::Value = client.parse(&body)?;
        return print_line(out, dump::lines(&groups).trim_end());
    }
    let instance = matches
        .get_one::<u64>("instance")
        .expect("clap requires it");
    let path = format!("/v1/voters/{instance}");
    print_line(out, &client.send(&path, name == "remove")?)
}

/// Runs `laburnumquay state`.
///
/// # Errors
///
/// If the instance can't be reached or refuses the request.
pub(crate) fn state(matches: &ArgMatches, out: &mut dyn Write) -> Result<()> {
    let client = Client::new(matches)?;
    let path = if matches.get_flag("json") {
        "/v1/state"
    } else {
        "/v1/state?form=text"
    };
    print_line(out, client.fetch(path)?.trim_end())
}

/// Runs `laburnumquay quarantine ...`.
///
/// # Errors
///
/// If the controller can't be reached or refuses the request.
pub(crate) fn quarantine(matches: &ArgMatches, out: &mut dyn Write) -> Result<()> {
    let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
    let controller = matches
        .get_one::<SocketAddr>("controller")
        .expect("clap requires it");
    let client = Client::without_key(controller.to_string());
    if name == "list" {
        return print_line(out, &client.fetch(call::QUARANTINE_LIST)?);
    }
    let path = call::lift_path(text_arg(matches, "fingerprint"));
    let mut target = format!("http://{controller}{path}");
    for _ in 0..MAX_REDIRECTS {
        let answer = client.read_answer(client.agent.post(&target).send_empty())?;
        match answer.location {
            Some(location) => target = location,
            None if answer.status == 200 => return Ok(()),
            None => return client.status_error(&answer),
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
/// If the file can't be read.
pub(crate) fn secret_digest(matches: &ArgMatches, out: &mut dyn Write) -> Result<()> {
    let path = matches
        .get_one::<PathBuf>("file")
        .expect("clap requires it");
    let secret = fs::read_to_string(path).context(ReadFileSnafu { path })?;
    print_line(out, &digest(secret.trim()))
}

fn print_line(out: &mut dyn Write, line: &str) -> Result<()> {
    writeln!(out, "{line}").context(OutputSnafu)
}

fn list(client: &Client, json: bool, out: &mut dyn Write) -> Result<()> {
    let body = client.fetch("/v1/catalogue")?;
    if json {
        return print_line(out, &body);
    }
    let listing: Listing = client.parse(&body)?;
    print_line(out, &format!("revision {}", listing.revision))?;
    listing
        .records
        .iter()
        .try_for_each(|r| print_line(out, &format_record(r)))
}

fn get(client: &Client, key: &EntryKey, json: bool, out: &mut dyn Write) -> Result<()> {
    let body = client.fetch(&format!("/v1/catalogue/{}/{}", key.kind, key.name))?;
    if json {
        return print_line(out, &body);
    }
    let record: Record = client.parse(&body)?;
    print_line(out, &format_record(&record))
}

fn format_record(record: &Record) -> String {
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
        return print_line(out, &body);
    }
    let changes: Vec<PastChange> = client.parse(&body)?;
    changes
        .iter()
        .try_for_each(|c| print_line(out, &format!("{} {:?}", c.id, c.outcome)))
}

/// Returns the precondition in the arguments: the revision given by `--expect`, if any.
fn expectation(matches: &ArgMatches, precondition: fn(u64) -> Expect) -> Expect {
    matches
        .get_one::<u64>("expect")
        .map_or(Expect::Any, |revision| precondition(*revision))
}

/// Reads a catalogue file as operations that put its entries.
fn read_entries(path: &Path) -> Result<Vec<Operation>> {
    let text = fs::read_to_string(path).context(ReadFileSnafu { path })?;
    let file: CatalogueFile = toml::from_str(&text).map_err(|e| {
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
    // A resend without the id would be another change.
    if answer.as_ref().map_or(true, |a| a.status >= 500) {
        eprintln!("change id {}: resend with --change-id", change.id);
    }
    let answer = answer?;
    if answer.status != 200 {
        return client.status_error(&answer);
    }
    if matches.get_flag("json") {
        return print_line(out, &answer.body);
    }
    match client.parse(&answer.body)? {
        Outcome::Accepted { revision } => print_line(
            out,
            &format!("accepted at revision {revision} (change {})", change.id),
        ),
        other => print_line(out, &format!("{other:?}")),
    }
}
