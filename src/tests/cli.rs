//! Tests of [`crate::cli`]: the documentation lists each setting of the command line.

use rstest::rstest;

use crate::cli::command;

const CONFIGURATION_PAGE: &str = include_str!("../../docs/CONFIGURATION.md");

const PLATFORM_PAGE: &str = include_str!("../../docs/PLATFORM.md");

/// Returns the expected table row of each setting of a subcommand.
fn rows(subcommand: &str) -> Vec<String> {
    let command = command();
    let subcommand = command.find_subcommand(subcommand).unwrap();
    subcommand
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

#[rstest]
#[case::serve(CONFIGURATION_PAGE, "serve")]
#[case::entry(PLATFORM_PAGE, "entry")]
#[case::controller(PLATFORM_PAGE, "controller")]
fn page_lists_settings(#[case] page: &str, #[case] subcommand: &str) {
    let rows = rows(subcommand);
    for row in &rows {
        assert!(page.contains(row), "the page lacks\n{row}");
    }
    let listed = page.lines().filter(|l| l.starts_with("| `--")).count();
    assert_eq!(listed, rows.len(), "the page lists other settings too");
}
