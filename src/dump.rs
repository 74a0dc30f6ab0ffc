//! The state dump of one instance: no key and no caller's text is in it.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;
use serde_json::Value;

use crate::gossip::FleetDump;
use crate::voter::GroupStatus;

/// Spaces that one level is indented by.
const INDENT: usize = 2;

/// State of one instance.
#[derive(Debug, Serialize)]
pub(crate) struct Dump {
    pub(crate) instance: u64,
    pub(crate) domain: String,
    pub(crate) release: &'static str,
    pub(crate) catalogue: CatalogueDump,
    pub(crate) requests: RequestDump,
    /// One element for each group of the replicated log; empty without a vote.
    pub(crate) groups: Vec<GroupStatus>,
    /// Instances and upstreams as this instance knows them.
    pub(crate) fleet: FleetDump,
    /// Tokens a second that engines and links allow, by route.
    pub(crate) bounds: BTreeMap<String, f64>,
}

/// The catalogue as this instance knows it.
#[derive(Debug, Serialize)]
pub(crate) struct CatalogueDump {
    pub(crate) revision: u64,
    pub(crate) entries: usize,
    /// Milliseconds for which it may still be acted on.
    pub(crate) lease_left: u128,
}

/// Requests on this instance.
#[derive(Debug, Serialize)]
pub(crate) struct RequestDump {
    pub(crate) running: usize,
    pub(crate) queued: usize,
    pub(crate) draining: bool,
}

/// The dump as indented lines for people.
pub(crate) fn text(dump: &Dump) -> String {
    lines(&serde_json::to_value(dump).expect("a dump holds only strings and numbers"))
}

/// A JSON value as indented lines for people.
pub(crate) fn lines(value: &Value) -> String {
    let mut out = String::new();
    write_value(&mut out, value, 0);
    out
}

fn write_value(out: &mut String, value: &Value, depth: usize) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                write_field(out, name, field, depth);
            }
        }
        Value::Array(items) => {
            for (at, item) in items.iter().enumerate() {
                write_field(out, &format!("[{at}]"), item, depth);
            }
        }
        other => {
            let _ = writeln!(out, "{}", scalar(other));
        }
    }
}

fn write_field(out: &mut String, name: &str, field: &Value, depth: usize) {
    let pad = " ".repeat(depth * INDENT);
    match field {
        Value::Object(f) if !f.is_empty() => {
            let _ = writeln!(out, "{pad}{name}:");
            write_value(out, field, depth + 1);
        }
        Value::Array(items) if !items.is_empty() => {
            let _ = writeln!(out, "{pad}{name}:");
            write_value(out, field, depth + 1);
        }
        Value::Object(_) | Value::Array(_) => {
            let _ = writeln!(out, "{pad}{name}: none");
        }
        other => {
            let _ = writeln!(out, "{pad}{name}: {}", scalar(other));
        }
    }
}

fn scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
