//! State dump of an instance. Must contain no key and no text of a caller.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;
use serde_json::Value;

use crate::gossip::FleetDump;
use crate::voter::GroupStatus;

/// Indentation per level, in spaces.
const INDENT: usize = 2;

/// State of one instance.
#[derive(Debug, Serialize)]
pub(crate) struct Dump {
    pub(crate) instance: u64,
    pub(crate) domain: String,
    pub(crate) release: &'static str,
    pub(crate) catalogue: CatalogueDump,
    pub(crate) requests: RequestDump,
    /// Groups of the replicated log; empty if the instance isn't a voter.
    pub(crate) groups: Vec<GroupStatus>,
    /// Instances and upstreams known to this instance.
    pub(crate) fleet: FleetDump,
    /// Maximum throughput of engines and links in tokens per second, by route.
    pub(crate) bounds: BTreeMap<String, f64>,
}

/// The catalogue on this instance.
#[derive(Debug, Serialize)]
pub(crate) struct CatalogueDump {
    pub(crate) revision: u64,
    pub(crate) entries: usize,
    /// Time left on the lease, in milliseconds.
    pub(crate) lease_left: u128,
}

/// Requests on this instance.
#[derive(Debug, Serialize)]
pub(crate) struct RequestDump {
    pub(crate) running: usize,
    pub(crate) queued: usize,
    pub(crate) draining: bool,
}

/// Formats a dump as indented, human-readable lines.
pub(crate) fn text(dump: &Dump) -> String {
    lines(&serde_json::to_value(dump).expect("a dump holds only strings and numbers"))
}

/// Formats a JSON value as indented, human-readable lines.
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
            for (index, item) in items.iter().enumerate() {
                write_field(out, &format!("[{index}]"), item, depth);
            }
        }
        other => {
            let _ = writeln!(out, "{}", scalar(other));
        }
    }
}

fn write_field(out: &mut String, name: &str, field: &Value, depth: usize) {
    let indent = " ".repeat(depth * INDENT);
    match field {
        Value::Object(f) if !f.is_empty() => {
            let _ = writeln!(out, "{indent}{name}:");
            write_value(out, field, depth + 1);
        }
        Value::Array(items) if !items.is_empty() => {
            let _ = writeln!(out, "{indent}{name}:");
            write_value(out, field, depth + 1);
        }
        Value::Object(_) | Value::Array(_) => {
            let _ = writeln!(out, "{indent}{name}: none");
        }
        other => {
            let _ = writeln!(out, "{indent}{name}: {}", scalar(other));
        }
    }
}

fn scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
