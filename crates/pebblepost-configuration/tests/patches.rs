//! Patches of a configuration: their effect, and the errors of invalid ones.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use pebblepost_configuration::{Configuration, is_same_document};
use rstest::rstest;

const DOCUMENT: &str = r#"{"generation":7,"note":{"kept":[1.5,null]},"routes":[
 {"name":"a","hostname":"h","path_prefix":"/a/","kind":"idempotent","backend":"s","x":1},
 {"name":"b","hostname":"h","path_prefix":"/b/","kind":"idempotent","backend":"s"},
 {"name":"c","hostname":"h","path_prefix":"/c/","kind":"idempotent","backend":"t"}],
 "services":[{"name":"s","tls":false},{"name":"t"}],"limits":{"idle_timeout_ms":15000}}"#;

fn base() -> Configuration {
    Configuration::parse(DOCUMENT.as_bytes()).unwrap()
}

fn patched(patch: &str) -> Configuration {
    base().patched(patch.as_bytes()).unwrap()
}

fn error_text(patch: &str) -> String {
    base().patched(patch.as_bytes()).unwrap_err().to_string()
}

fn assert_document(configuration: &Configuration, expected: &str) {
    let document = String::from_utf8_lossy(configuration.document());
    assert!(
        is_same_document(document.as_bytes(), expected.as_bytes()),
        "document:\n{document}\nexpected:\n{expected}"
    );
}

#[test]
fn items_are_added_replaced_and_removed_by_name() {
    let configuration = patched(
        r#"{"generation":9,"upsert":{
         "routes":[{"name":"b","hostname":"h","path_prefix":"/b2/","kind":"rollout","backend":"u","queue_ttl_s":40.0},
                   {"name":"d","hostname":"h","path_prefix":"/a/","kind":"idempotent","backend":"s"}],
         "services":[{"name":"u","max_conns":3}]},"remove":{"routes":["a","never"],"services":[]}}"#,
    );
    assert_document(
        &configuration,
        r#"{"generation":9,"note":{"kept":[1.5,null]},"routes":[
         {"name":"b","hostname":"h","path_prefix":"/b2/","kind":"rollout","backend":"u","queue_ttl_s":40.0},
         {"name":"c","hostname":"h","path_prefix":"/c/","kind":"idempotent","backend":"t"},
         {"name":"d","hostname":"h","path_prefix":"/a/","kind":"idempotent","backend":"s"}],
         "services":[{"name":"s","tls":false},{"name":"t"},{"name":"u","max_conns":3}],
         "limits":{"idle_timeout_ms":15000}}"#,
    );
    assert_eq!(configuration.generation(), 9);
    assert_eq!(configuration.route("h", "/a/x").unwrap().name, "d");
    assert!(configuration.route("h", "/b/x").is_none());
}

#[rstest]
#[case::inside_upsert(r#"{"generation":8,"upsert":{"limits":{"idle_timeout_ms":9000}}}"#)]
#[case::at_the_top(r#"{"generation":8,"limits":{"idle_timeout_ms":9000}}"#)]
fn limits_are_replaced(#[case] patch: &str) {
    let configuration = patched(patch);
    assert_eq!(configuration.limits().idle_timeout.as_millis(), 9000);
    assert_eq!(configuration.routes().len(), 3);
}

#[test]
fn patch_may_change_only_the_generation() {
    let configuration = patched(r#"{"generation":8,"upsert":null,"remove":{"routes":null}}"#);
    assert_document(&configuration, &DOCUMENT.replace("\"generation\":7", "\"generation\":8"));
}

#[test]
fn patched_document_parses_to_the_same_routes() {
    let configuration = patched(r#"{"generation":8,"remove":{"routes":["a"]}}"#);
    let reparsed = Configuration::parse(configuration.document()).unwrap();
    assert_eq!(reparsed.routes(), configuration.routes());
    assert_eq!(reparsed.generation(), 8);
}

#[test]
fn patches_accumulate() {
    let configuration = patched(r#"{"generation":8,"remove":{"routes":["a"]}}"#)
        .patched(br#"{"generation":20,"remove":{"routes":["c"],"services":["t"]}}"#)
        .unwrap();
    let names: Vec<&str> = configuration.routes().iter().map(|route| route.name.as_str()).collect();
    assert_eq!((names, configuration.generation()), (vec!["b"], 20));
}

#[rstest]
#[case::same_generation(r#"{"generation":7}"#, "generation 7 is not above the current 7")]
#[case::lower_generation(r#"{"generation":6}"#, "generation 6 is not above the current 7")]
#[case::no_generation("{}", "the document: `generation` is missing")]
#[case::not_an_object("[]", "the document is not an object")]
#[case::upsert_is_a_list(r#"{"generation":8,"upsert":[]}"#, "the patch: `upsert` must be an object")]
#[case::remove_is_a_string(r#"{"generation":8,"remove":"a"}"#, "the patch: `remove` must be an object")]
#[case::names_are_numbers(
    r#"{"generation":8,"remove":{"routes":[1]}}"#,
    "the patch: `remove` must hold a list of names under `routes`"
)]
#[case::item_without_name(
    r#"{"generation":8,"upsert":{"routes":[{"hostname":"h"}]}}"#,
    "the patch: an item of `routes` has no name"
)]
#[case::service_still_used(
    r#"{"generation":8,"remove":{"services":["t"]}}"#,
    "route 'c': `backend` names the unknown service 't'"
)]
#[case::ambiguous_prefix(
    r#"{"generation":8,"upsert":{"routes":[{"name":"z","hostname":"h","path_prefix":"/a/","kind":"idempotent",
      "backend":"s"}]}}"#,
    "routes 'a' and 'z' have the same host and prefix"
)]
#[case::zero_timeout(
    r#"{"generation":8,"upsert":{"routes":[{"name":"a","hostname":"h","path_prefix":"/a/","kind":"idempotent",
      "backend":"s","timeout_ms":0}]}}"#,
    "route 'a': `timeout_ms` must be above 0"
)]
#[case::zero_weights(
    r#"{"generation":8,"upsert":{"routes":[{"name":"a","hostname":"h","path_prefix":"/a/","kind":"idempotent",
      "traffic_split":[{"backend":"s","weight":0}]}]}}"#,
    "route 'a': `traffic_split` has weights that sum to 0"
)]
fn rejects_an_invalid_patch(#[case] patch: &str, #[case] reason: &str) {
    assert_eq!(error_text(patch), reason);
}

#[test]
fn rejects_a_patch_that_is_not_json() {
    assert!(error_text(r#"{"generation":8,"remove""#).starts_with("the document is not valid JSON"));
}

#[test]
fn patched_document_has_the_approved_bytes() {
    let configuration = patched(
        r#"{"generation":9,"upsert":{"routes":[{"name":"b","hostname":"h","path_prefix":"/b2/","kind":"rollout",
         "backend":"t","queue_ttl_s":40.0}],"services":[{"name":"u","max_conns":3}],"limits":{"x":[1e3,"\u00e9\n"]}},
         "remove":{"routes":["a"]}}"#,
    );
    let approved = concat!(
        r#"{"generation":9,"note":{"kept":[1.5,null]},"routes":[{"name":"b","hostname":"h","path_prefix":"/b2/","#,
        r#""kind":"rollout","backend":"t","queue_ttl_s":40.0},{"name":"c","hostname":"h","path_prefix":"/c/","#,
        r#""kind":"idempotent","backend":"t"}],"services":[{"name":"s","tls":false},{"name":"t"},"#,
        r#"{"name":"u","max_conns":3}],"limits":{"x":[1000.0,"é\n"]}}"#,
    );
    assert_eq!(String::from_utf8_lossy(configuration.document()), approved);
}

/// Guards against: a configuration that grows by patches until neither a replica nor a subscriber can be sent it, nor
/// another patch applied (`docs/incidents/a-job-that-its-store-could-not-send.md`).
#[test]
fn a_patch_whose_result_exceeds_the_limit_of_a_document_is_an_error() {
    const MAX_DOCUMENT_BYTES: usize = 32 * 1024 * 1024;
    let route = |name: &str| {
        let note = "n".repeat(MAX_DOCUMENT_BYTES / 2);
        format!(
            r#"{{"name":"{name}","hostname":"h","path_prefix":"/{name}/","kind":"idempotent","backend":"s","note":"{note}"}}"#
        )
    };
    let patch = |generation: u64, name: &str| {
        format!(r#"{{"generation":{generation},"upsert":{{"routes":[{}]}}}}"#, route(name))
    };
    let once = patched(&patch(8, "d"));
    let error = once.patched(patch(9, "e").as_bytes()).unwrap_err();
    assert_eq!(error.to_string(), "the document has more than 33554432 bytes");
    assert!(once.patched(patch(9, "d").as_bytes()).is_ok(), "the route is replaced");
}
