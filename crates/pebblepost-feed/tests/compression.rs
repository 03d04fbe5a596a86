//! Compressed configurations are smaller, are restored unchanged, and are not applied if they are damaged.

use pebblepost_feed::FeedState;
use pebblepost_feed::compression::compress_configuration;
use pebblepost_messages::feed::{ConfigurationUpdate, FeedUpdate};

/// Returns a configuration with 500 routes whose names share no text that would make compression easy.
fn document(generation: u64) -> Vec<u8> {
    let route = |number: u64| {
        let name = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        format!(
            r#"{{"name":"r-{name:x}","hostname":"{name:x}.example","path_prefix":"/{name:x}/","kind":"idempotent",
            "timeout_ms":1500,"target_latency_ms":150,"priority":2,"backend":"pages","max_attempts":4}}"#
        )
    };
    let routes: Vec<String> = (1..=500).map(route).collect();
    let services = r#"{"name":"pages","health_path":"/healthz","max_conns":100}"#;
    format!(r#"{{"generation":{generation},"routes":[{}],"services":[{services}]}}"#, routes.join(","))
        .into_bytes()
}

#[test]
fn compressed_configuration_is_restored_unchanged() {
    let document = document(6);
    let update = compress_configuration(6, &document);
    let ConfigurationUpdate::Compressed { compressed, .. } = &update else { panic!("not compressed") };
    assert!(compressed.len() * 3 < document.len(), "{} of {} bytes", compressed.len(), document.len());
    let mut state = FeedState::default();
    assert!(state.apply(&FeedUpdate::Configuration(update)).configuration_changed);
    assert_eq!(state.configuration().unwrap().document(), &document[..]);
}

#[test]
fn damaged_configuration_is_rejected_and_requires_a_resync() {
    let ConfigurationUpdate::Compressed { uncompressed_bytes, compressed, .. } =
        compress_configuration(6, &document(6))
    else {
        panic!("not compressed")
    };
    let mut corrupted = compressed.clone();
    corrupted[100] ^= 0x55;
    let damaged = [
        (uncompressed_bytes, compressed[..compressed.len() / 2].to_vec()),
        (uncompressed_bytes - 1, compressed.clone()),
        (uncompressed_bytes + 1, compressed.clone()),
        (u64::MAX, compressed),
        (uncompressed_bytes, corrupted),
    ];
    for (uncompressed_bytes, compressed) in damaged {
        let mut state = FeedState::default();
        let update = ConfigurationUpdate::Compressed { generation: 6, uncompressed_bytes, compressed };
        let changes = state.apply(&FeedUpdate::Configuration(update));
        assert!(changes.resync_needed && state.configuration().is_none());
    }
}
