//! Error texts that operators see and that `configuration.rs` and `patches.rs` do not check.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use pebblepost_configuration::Configuration;
use rstest::rstest;

const BASE: &str = r#"{"generation":1,"routes":[],"services":[],"note":{"name":"x"}}"#;

fn parse_error(document: &str) -> String {
    Configuration::parse(document.as_bytes()).unwrap_err().to_string()
}

fn patch_error(patch: &str) -> String {
    Configuration::parse(BASE.as_bytes()).unwrap().patched(patch.as_bytes()).unwrap_err().to_string()
}

#[test]
fn rejects_a_document_over_the_size_limit() {
    let document = vec![b' '; 32 * 1024 * 1024 + 1];
    let error = Configuration::parse(&document).unwrap_err();
    assert_eq!(error.to_string(), "the document has more than 33554432 bytes");
}

#[rstest]
#[case::empty("", "the document is not valid JSON: Eof at character 0")]
#[case::not_json(
    "generation=7",
    "the document is not valid JSON: InternalError(TapeError) at character 0 ('g')"
)]
#[case::truncated(r#"{"generation":7,"#, "the document is not valid JSON: Syntax at character 15 (',')")]
#[case::model_of_wrong_type(
    r#"{"generation":1,"routes":[],"services":[{"name":"a","engine":{"models":[3]}}]}"#,
    "a model is not an object"
)]
#[case::model_without_name(
    r#"{"generation":1,"routes":[],"services":[{"name":"a","engine":{"models":[{}]}}]}"#,
    "a model: `name` is missing"
)]
#[case::engine_of_wrong_type(
    r#"{"generation":1,"routes":[],"services":[{"name":"a","engine":3}]}"#,
    "engine of 'a' is not an object"
)]
#[case::slots_of_wrong_type(
    r#"{"generation":1,"routes":[],"services":[{"name":"a","engine":{"slots":"x"}}]}"#,
    "engine of 'a': `slots` must be a number"
)]
#[case::weight_of_wrong_type(
    r#"{"generation":1,"services":[{"name":"s"}],"routes":[{"name":"r","hostname":"h","path_prefix":"/","kind":"",
        "traffic_split":[3]}]}"#,
    "an entry of `traffic_split` is not an object"
)]
#[case::empty_split_without_backend(
    r#"{"generation":1,"services":[{"name":"s"}],"routes":[{"name":"r","hostname":"h","path_prefix":"/","kind":"",
        "traffic_split":[]}]}"#,
    "route 'r': `traffic_split` has no entries, and no `backend` is given"
)]
fn invalid_document_gives_this_error_text(#[case] document: &str, #[case] expected: &str) {
    assert_eq!(parse_error(document), expected);
}

#[rstest]
#[case::upsert_into_a_field_that_is_not_a_list(
    r#"{"generation":2,"upsert":{"note":[{"name":"x"}]}}"#,
    "the document: `note` is not a list"
)]
#[case::remove_of_wrong_type(
    r#"{"generation":2,"remove":{"routes":3}}"#,
    "the patch: `remove` must hold a list of names under `routes`"
)]
#[case::generation_of_wrong_type(r#"{"generation":"2"}"#, "the document: `generation` must be a number")]
fn invalid_patch_gives_this_error_text(#[case] patch: &str, #[case] expected: &str) {
    assert_eq!(patch_error(patch), expected);
}
