//! Tests of [`crate::cli`]: the command line and its page agree.

use crate::cli::command;

const PAGE: &str = include_str!("../../docs/CONFIGURATION.md");

/// A row of the page for each setting of `serve`.
fn rows() -> Vec<String> {
    let command = command();
    let serve = command.find_subcommand("serve").unwrap();
    serve
        .get_arguments()
        .filter_map(|arg| {
            let long = arg.get_long()?;
            let env = arg.get_env()?.to_str()?;
            let default = arg.get_default_values().first().and_then(|d| d.to_str());
            let default = match (arg.is_required_set(), default) {
                (true, _) => "required",
                (false, Some(value)) if arg.get_action().takes_values() => value,
                _ => "-",
            };
            let help = arg.get_help()?;
            Some(format!("| `--{long}` | `{env}` | {default} | {help} |"))
        })
        .collect()
}

#[test]
fn command_valid() {
    command().debug_assert();
}

#[test]
fn page_lists_settings() {
    let rows = rows();
    for row in &rows {
        assert!(PAGE.contains(row), "docs/CONFIGURATION.md lacks\n{row}");
    }
    let listed = PAGE.lines().filter(|l| l.starts_with("| `--")).count();
    assert_eq!(listed, rows.len(), "docs/CONFIGURATION.md lists others too");
}
