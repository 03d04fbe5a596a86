//! Limits of client connections that change while connections are open: raised, lowered, and set for the first time.

#[expect(dead_code, reason = "each test program uses a part of the support")]
mod support;

use rstest::rstest;
use std::time::{Duration, Instant};
use support::client::Client;
use support::transcriber::{Step, success};
use support::{ConnectionLimits, ProxyFixture, configuration_with_limits, get, post, run};

/// Limits that allow heads of this size.
fn head_limit(max_header_bytes: usize) -> ConnectionLimits {
    ConnectionLimits { max_header_bytes, ..ConnectionLimits::default() }
}

/// Returns a request whose head has about this size.
fn large_head(request_id: &str, bytes: usize) -> String {
    get("/pages/1", request_id).replace("\n\n", &format!("\nX-Note: {}\n\n", "n".repeat(bytes)))
}

async fn status(client: &mut Client, request: &str) -> String {
    client.write(request).await;
    client.response().await.lines().next().unwrap_or_default().to_owned()
}

const OK: &str = "HTTP/1.1 200 OK";
const HEAD_TOO_LARGE: &str = "HTTP/1.1 431 Request Header Fields Too Large";

/// Guards against: kept connections on which the limit of a replaced configuration refuses what the one in force allows.
/// Sizes below and above the 64 KiB of the library's buffers.
#[rstest]
#[case::within_the_buffer(2048, 32_768, 20_000)]
#[case::beyond_the_buffer(2048, 400_000, 300_000)]
#[case::from_beyond_the_buffer(100_000, 400_000, 300_000)]
fn a_raised_header_limit_applies_to_kept_connections(
    #[case] before: usize, #[case] after: usize, #[case] head_bytes: usize,
) {
    run(async move {
        let mut fixture = ProxyFixture::bare(8.0);
        fixture.add("pages", "i-1").await;
        let mut unused = fixture.connect().await;
        fixture.proxy.apply(&[configuration_with_limits(1, head_limit(before))]);
        let mut kept = fixture.connect().await;
        assert_eq!(status(&mut kept, &get("/pages/1", "r1")).await, OK);
        fixture.proxy.apply(&[configuration_with_limits(2, head_limit(after))]);
        for (name, client) in [("unused", &mut unused), ("kept", &mut kept)] {
            for round in 0..2 {
                let large = large_head(&format!("{name}-{round}"), head_bytes);
                assert_eq!(status(client, &large).await, OK, "{name}, round {round}");
                assert_eq!(status(client, &get("/pages/1", "r2")).await, OK, "{name}, round {round}");
            }
        }
    });
}

/// Guards against: kept connections on which heads over the limit in force are still accepted, or that end with a refusal.
#[rstest]
#[case::within_the_buffer(32_768, 2048, 20_000)]
#[case::just_over(32_768, 20_000, 20_000)]
fn a_lowered_header_limit_applies_to_kept_connections(
    #[case] before: usize, #[case] after: usize, #[case] head_bytes: usize,
) {
    run(async move {
        let mut fixture = ProxyFixture::bare(8.0);
        fixture.add("pages", "i-1").await;
        fixture.proxy.apply(&[configuration_with_limits(1, head_limit(before))]);
        let mut kept = fixture.connect().await;
        assert_eq!(status(&mut kept, &large_head("r1", head_bytes)).await, OK);
        fixture.proxy.apply(&[configuration_with_limits(2, head_limit(after))]);
        assert_eq!(status(&mut kept, &large_head("r2", head_bytes)).await, HEAD_TOO_LARGE);
        assert_eq!(status(&mut kept, &get("/pages/1", "r3")).await, OK, "the connection stays usable");
    });
}

#[test]
fn a_head_far_over_a_lowered_limit_is_refused_on_a_kept_connection() {
    run(async {
        let mut fixture = ProxyFixture::bare(8.0);
        fixture.add("pages", "i-1").await;
        fixture.proxy.apply(&[configuration_with_limits(1, head_limit(400_000))]);
        let mut kept = fixture.connect().await;
        assert_eq!(status(&mut kept, &large_head("r1", 300_000)).await, OK);
        fixture.proxy.apply(&[configuration_with_limits(2, head_limit(2048))]);
        assert_eq!(status(&mut kept, &large_head("r2", 70_000)).await, HEAD_TOO_LARGE);
        let mut new = fixture.connect().await;
        assert_eq!(status(&mut new, &get("/pages/1", "r3")).await, OK);
    });
}

/// Guards against: connections accepted before the first configuration that keep the limits of that time.
#[rstest]
#[case::lower(2048, 20_000, HEAD_TOO_LARGE)]
#[case::higher(400_000, 300_000, OK)]
fn the_first_configuration_limits_connections_accepted_before_it(
    #[case] limit: usize, #[case] head_bytes: usize, #[case] expected: &'static str,
) {
    run(async move {
        let mut fixture = ProxyFixture::bare(8.0);
        fixture.add("pages", "i-1").await;
        let mut early = fixture.connect().await;
        assert!(status(&mut early, &get("/pages/1", "r1")).await.starts_with("HTTP/1.1 503 "));
        fixture.proxy.apply(&[configuration_with_limits(1, head_limit(limit))]);
        assert_eq!(status(&mut early, &large_head("r2", head_bytes)).await, expected);
        assert_eq!(status(&mut early, &get("/pages/1", "r3")).await, OK);
    });
}

/// Guards against: heads that are refused before the first configuration, which allows them; and heads over its limit that
/// are accepted because they began before it.
#[rstest]
#[case::allowed(400_000, 300_000, OK)]
#[case::one_that_just_exceeds_the_buffer(400_000, 65_536, OK)]
#[case::over_a_limit_beyond_the_buffer(100_000, 300_000, HEAD_TOO_LARGE)]
#[case::over_a_limit_within_the_buffer(2048, 300_000, HEAD_TOO_LARGE)]
#[case::with_the_limits_of_the_time_before(65_536, 300_000, HEAD_TOO_LARGE)]
fn a_head_larger_than_the_buffer_waits_for_the_first_configuration(
    #[case] limit: usize, #[case] head_bytes: usize, #[case] expected: &'static str,
) {
    run(async move {
        let mut fixture = ProxyFixture::bare(8.0);
        fixture.add("pages", "i-1").await;
        let mut unused = fixture.connect().await;
        let mut used = fixture.connect().await;
        assert!(status(&mut used, &get("/pages/1", "r1")).await.starts_with("HTTP/1.1 503 "));
        let limits =
            ConnectionLimits { max_header_bytes: limit, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 };
        for (name, client) in [("unused", &mut unused), ("used", &mut used)] {
            client.write(&large_head(name, head_bytes)).await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        fixture.proxy.apply(&[configuration_with_limits(1, limits)]);
        for (name, client) in [("unused", &mut unused), ("used", &mut used)] {
            let response = client.response().await;
            assert_eq!(response.lines().next(), Some(expected), "{name}");
        }
        if expected == OK {
            assert_eq!(status(&mut used, &get("/pages/1", "r2")).await, OK);
            assert_eq!(fixture.log().lines().count(), 3, "each request is executed once");
        }
    });
}

/// Guards against: a head that waits for the first configuration without an end.
#[test]
fn a_head_larger_than_the_buffer_waits_no_longer_than_a_head_may_take() {
    run(async {
        let mut fixture = ProxyFixture::bare(8.0);
        fixture.add("pages", "i-1").await;
        let mut client = fixture.connect().await;
        client.write(&large_head("r1", 300_000)).await;
        let started = Instant::now();
        let closed = closed_after(&mut client, started).await;
        assert!(
            (2_900..4_000).contains(&closed),
            "{closed} ms; a head may take 3 s before the first configuration"
        );
    });
}

/// Guards against: bytes lost, or read twice, when a connection is created anew.
#[test]
fn a_head_that_has_begun_before_a_change_is_completed_after_it() {
    run(async {
        let mut fixture = ProxyFixture::bare(8.0);
        fixture.add("pages", "i-1").await;
        fixture.proxy.apply(&[configuration_with_limits(1, head_limit(2048))]);
        let mut kept = fixture.connect().await;
        assert_eq!(status(&mut kept, &get("/pages/1", "r1")).await, OK);
        let large = large_head("r2", 300_000);
        let (begin, rest) = large.split_at(1000);
        kept.write(begin).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        fixture.proxy.apply(&[configuration_with_limits(2, head_limit(400_000))]);
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(status(&mut kept, rest).await, OK);
        assert_eq!(fixture.log().lines().count(), 2, "each request is executed once");
    });
}

#[test]
fn a_change_during_a_request_leaves_the_request_alone_and_applies_to_the_next() {
    run(async {
        let mut fixture = ProxyFixture::bare(8.0);
        fixture.add("pages", "i-1").await;
        fixture.proxy.apply(&[configuration_with_limits(1, head_limit(2048))]);
        let mut slow = vec![Step::Pause(Duration::from_millis(300))];
        slow.extend(success("slow"));
        fixture.script.borrow_mut().replies = vec![slow].into();
        let mut kept = fixture.connect().await;
        // The second request is there before the first is answered.
        kept.write(&post("/pages/1", "r1", "body")).await;
        kept.write(&get("/pages/1", "r2")).await;
        fixture.wait_for_log_lines(1).await;
        fixture.proxy.apply(&[configuration_with_limits(2, head_limit(400_000))]);
        assert!(kept.response().await.ends_with("slow"));
        assert!(kept.response().await.ends_with("by default"));
        assert_eq!(status(&mut kept, &large_head("r3", 300_000)).await, OK);
        assert_eq!(fixture.log().lines().count(), 3);
    });
}

/// Returns how long a connection stays open from `since` on.
async fn closed_after(client: &mut Client, since: Instant) -> u128 {
    assert!(client.is_closed().await);
    since.elapsed().as_millis()
}

/// Guards against: a lowered limit on the time for a head that connections accepted before don't follow.
#[rstest]
#[case::lowered(8000, 500, 450..1500)]
#[case::raised(500, 1500, 1400..2500)]
fn a_changed_header_timeout_applies_to_kept_connections(
    #[case] before: u64, #[case] after: u64, #[case] expected: std::ops::Range<u128>,
) {
    run(async move {
        let mut fixture = ProxyFixture::bare(8.0);
        fixture.add("pages", "i-1").await;
        let limits =
            |header_timeout_ms| ConnectionLimits { header_timeout_ms, ..ConnectionLimits::default() };
        fixture.proxy.apply(&[configuration_with_limits(1, limits(before))]);
        let mut kept = fixture.connect().await;
        assert_eq!(status(&mut kept, &get("/pages/1", "r1")).await, OK);
        fixture.proxy.apply(&[configuration_with_limits(2, limits(after))]);
        let started = Instant::now();
        kept.write("GET /pages/1 HTTP/1.1\nHost").await;
        let closed = closed_after(&mut kept, started).await;
        assert!(expected.contains(&closed), "{closed} ms");
    });
}

/// Guards against: a lowered idle time that unused connections don't follow, or that cuts a connection which its client was
/// told it may still use.
#[test]
fn a_lowered_idle_timeout_applies_once_the_announced_time_is_over() {
    run(async {
        let mut fixture = ProxyFixture::bare(8.0);
        fixture.add("pages", "i-1").await;
        let limits = |idle_timeout_ms| ConnectionLimits { idle_timeout_ms, ..ConnectionLimits::default() };
        fixture.proxy.apply(&[configuration_with_limits(1, limits(2000))]);
        let started = Instant::now();
        let (mut unused, mut kept) = (fixture.connect().await, fixture.connect().await);
        assert_eq!(status(&mut kept, &get("/pages/1", "r1")).await, OK);
        fixture.proxy.apply(&[configuration_with_limits(2, limits(500))]);
        let rests = async {
            tokio::time::sleep(Duration::from_millis(1500)).await;
            assert_eq!(status(&mut kept, &get("/pages/1", "r2")).await, OK, "two seconds were announced");
            let since = Instant::now();
            closed_after(&mut kept, since).await
        };
        let (unused_ms, kept_ms) = tokio::join!(closed_after(&mut unused, started), rests);
        assert!((450..1500).contains(&unused_ms), "{unused_ms} ms");
        assert!((450..1400).contains(&kept_ms), "{kept_ms} ms: announced anew with the last response");
    });
}

#[test]
fn a_raised_idle_timeout_applies_to_kept_connections() {
    run(async {
        let mut fixture = ProxyFixture::bare(8.0);
        fixture.add("pages", "i-1").await;
        let limits = |idle_timeout_ms| ConnectionLimits { idle_timeout_ms, ..ConnectionLimits::default() };
        fixture.proxy.apply(&[configuration_with_limits(1, limits(500))]);
        let mut kept = fixture.connect().await;
        assert_eq!(status(&mut kept, &get("/pages/1", "r1")).await, OK);
        fixture.proxy.apply(&[configuration_with_limits(2, limits(3000))]);
        tokio::time::sleep(Duration::from_millis(1500)).await;
        assert_eq!(status(&mut kept, &get("/pages/1", "r2")).await, OK);
    });
}
