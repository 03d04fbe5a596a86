//! Complete error texts, including causes, of rejected settings files that `settings.rs` does not cover.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use eyre::Report;
use pebblepost_settings::Settings;
use rstest::rstest;
use std::path::Path;

const VALID: [&str; 4] = ["node_name='n'", "ip='10.0.0.1'", "zone='z'", "port_range=[7300,7315]"];

/// Returns the error with its chain of causes, as programs print it.
fn error_chain(lines: &[&str]) -> String {
    let error = Settings::parse(&lines.join("\n"), "f.toml").unwrap_err();
    format!("{:#}", Report::from(error))
}

#[rstest]
#[case::addresses_of_wrong_type(
    "seeds=3",
    "f.toml: `seeds`: must be a list of addresses, is of type integer"
)]
#[case::count_of_wrong_type(
    "limits={max_fds='x'}",
    "f.toml: `limits.max_fds`: must be an integer, is of type string"
)]
#[case::negative_fraction(
    "limits={cpu_share=-0.5}",
    "f.toml: `limits.cpu_share`: must not be negative, is -0.5"
)]
#[case::infinite_count(
    "limits={max_fds=-inf}",
    "f.toml: `limits.max_fds`: must be an integer, is of type float"
)]
#[case::negative_whole_float(
    "limits={max_fds=-2.0}",
    "f.toml: `limits.max_fds`: must not be negative, is -2"
)]
#[case::address_of_wrong_type(
    "listen={front=3}",
    "f.toml: `listen.front`: must be a string, is of type integer"
)]
#[case::zone_of_wrong_type("zones={a=1}", "f.toml: `zones.a`: must be a string, is of type integer")]
fn a_rejected_value_has_this_error_text(#[case] line: &str, #[case] expected: &str) {
    let mut lines = VALID.to_vec();
    lines.push(line);
    assert_eq!(error_chain(&lines), expected);
}

#[rstest]
#[case::ports_of_wrong_type(
    "port_range=3",
    "f.toml: `port_range`: must be a list of two ports, is of type integer"
)]
#[case::port_of_wrong_type(
    "port_range=['a',2]",
    "f.toml: `port_range`: must be a list of two ports, is of type string"
)]
#[case::port_zero("port_range=[0,20]", "f.toml: `port_range`: 0 is not a port number from 1 to 65535")]
#[case::three_ports("port_range=[1,2,3]", "f.toml: `port_range`: must be a list of two ports, has length 3")]
fn a_rejected_port_range_has_this_error_text(#[case] line: &str, #[case] expected: &str) {
    let mut lines = VALID[..3].to_vec();
    lines.push(line);
    assert_eq!(error_chain(&lines), expected);
}

#[test]
fn the_error_quotes_an_invalid_document() {
    let expected = "f.toml: not valid TOML: TOML parse error at line 1, column 13\n  |\n1 | node_name = \n  \
                    |             ^\nstring values must be quoted, expected literal string\n";
    assert_eq!(error_chain(&["node_name = "]), expected);
}

#[test]
fn the_error_for_a_missing_file_includes_the_cause() {
    let error = Settings::read(Path::new("/nonexistent/local.toml")).unwrap_err();
    let expected =
        "reading the settings file /nonexistent/local.toml: No such file or directory (os error 2)";
    assert_eq!(format!("{:#}", Report::from(error)), expected);
}

#[test]
fn the_error_names_a_missing_environment_variable() {
    // The test runner does not set the variable.
    let error = Settings::from_environment().unwrap_err();
    let expected = "the variable PEBBLEPOST_SETTINGS names no settings file";
    assert_eq!(format!("{:#}", Report::from(error)), expected);
}
