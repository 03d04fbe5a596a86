//! The codec, and the built adapter end to end.

use pebblepost_dispatch::api::*;
use pebblepost_dispatch::wire::*;
use std::io::Write;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

const SETTINGS: &str = "caps.cancelling=true\ncaps.probing=true\ncaps.sendCap=3\nclasses.count=1\n\
    classes.0.deadline=5000000000\nclasses.0.effect=idempotency_key\nclasses.0.group=zone\n\
    classes.0.onTime=250000000\nclasses.0.window=7500000000\nclasses.0.worth=2.5\ndiscovery=push\n\
    domain.classKind=-1\ndomain.classStretch=1.25\ndomain.progress=1000000000\ndomain.reportX0=free_slots\n\
    instances=4\ninvariants.warmUp=22000000000\nlocality=1\nreport.names=x0,waiting,active\n\
    report.source=pull\ntick=2000000\nsome.key.added.later=whatever\n";

fn record(code: u8, parts: &[&[u8]]) -> Vec<u8> {
    let fields = parts.concat();
    [&[code][..], &(fields.len() as u32).to_le_bytes(), &fields].concat()
}

fn launch(instance: u32, settings: &str) -> Vec<u8> {
    let n = (settings.len() as u32).to_le_bytes();
    record(90, &[&instance.to_le_bytes(), &9u64.to_le_bytes(), &n, settings.as_bytes()])
}

/// A cached list of one ready worker.
fn list(instance: u32, worker: u32) -> Vec<u8> {
    let entry = [&worker.to_le_bytes()[..], &[1, 0, 0, 0, 0, 0, 1], &1f32.to_le_bytes(), &[0; 8]].concat();
    let head = [&[2u8][..], &1u32.to_le_bytes(), &1u32.to_le_bytes()].concat();
    record(50, &[&instance.to_le_bytes(), &head, &entry])
}

fn demand(instance: u32, id: u32) -> Vec<u8> {
    let rest = [&[0u8, 0][..], &[0; 16], &[0, 0], &5_000_000_000u64.to_le_bytes(), &[0]].concat();
    let needs = [1f32.to_le_bytes(), 0f32.to_le_bytes()].concat();
    record(20, &[&instance.to_le_bytes(), &id.to_le_bytes(), &rest, &needs])
}

fn probed(instance: u32, worker: u32, report: &[f32]) -> Vec<u8> {
    let values: Vec<u8> = report.iter().flat_map(|value| value.to_le_bytes()).collect();
    let head = [&worker.to_le_bytes()[..], &[1], &1_000_000u64.to_le_bytes(), &[report.len() as u8]].concat();
    record(60, &[&instance.to_le_bytes(), &head, &values])
}

fn batch(now: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let head = [(body.len() as u32).to_le_bytes(), (records.len() as u32).to_le_bytes()].concat();
    [&now.to_le_bytes()[..], &head, &body].concat()
}

fn parse(bytes: &[u8]) -> Result<Vec<(u32, Message)>, WireError> {
    let header: [u8; BATCH_HEADER] = bytes[..BATCH_HEADER].try_into().expect("a header");
    parse_batch(&BatchHeader::parse(&header), &bytes[BATCH_HEADER..])
}

#[test]
fn reads_the_examples_of_the_protocol() {
    let hex = "90bf68f5010000005000000003000000\
        142d00000003000000c4913a5d0000001bb70000000000640ad2557c3bf0910000001c4e0e0000000001\
        0000004000000000\
        0a0c000000030000004d00000000000000\
        280800000005000000192b6f0e";
    let bytes: Vec<u8> =
        (0..hex.len() / 2).map(|i| u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).expect("hex")).collect();
    let messages = parse(&bytes).expect("valid");
    assert_eq!(messages.iter().map(|(i, _)| *i).collect::<Vec<_>>(), [3, 3, 5]);
    let Message::Event(Event::Request { id, time_left, repeat, slots, .. }) = &messages[0].1 else {
        panic!("{messages:?}")
    };
    assert_eq!((id.0, *repeat, *slots), (0x5d3a_91c4, false, 2.0));
    assert_eq!(*time_left, Duration::from_millis(240));
    assert!(matches!(messages[1].1, Message::Event(Event::TimerDue { token: TimerToken(0x4d) })));
    assert!(matches!(messages[2].1, Message::Event(Event::ClientGone { id: RequestId(0x0e6f_2b19) })));
}

#[test]
fn writes_actions_as_the_examples_of_the_protocol() {
    let mut reply = Reply::default();
    let (id, worker) = (RequestId(0x5d3a_91c4), WorkerId(0x0312_4a07));
    reply.push(3, &Action::Send { id, worker, timeout: Some(Duration::from_millis(80)) });
    let at = Time(0x0002_1336_2490);
    reply.push(3, &Action::SetTimer { at, token: TimerToken(0x4d) });
    reply.push(
        3,
        &Action::Refuse { id: RequestId(0x0e6f_2b19), retry_after: Some(Duration::from_millis(250)) },
    );
    let bytes = reply.take();
    let expected = [
        &3u32.to_le_bytes()[..],
        &((5 + 20 + 5 + 20 + 5 + 16) as u32).to_le_bytes(),
        &record(
            10,
            &[
                &3u32.to_le_bytes(),
                &id.0.to_le_bytes(),
                &80_000_000u64.to_le_bytes(),
                &worker.0.to_le_bytes(),
            ],
        ),
        &record(50, &[&3u32.to_le_bytes(), &at.0.to_le_bytes(), &0x4du64.to_le_bytes()]),
        &record(20, &[&3u32.to_le_bytes(), &0x0e6f_2b19u32.to_le_bytes(), &250_000_000u64.to_le_bytes()]),
    ]
    .concat();
    assert_eq!(bytes, expected);
    assert_eq!(reply.take(), [0; 8], "an empty reply is left");
}

#[test]
fn translates_settings_and_skips_unknown_keys() {
    let settings = parse_settings(SETTINGS).expect("valid");
    assert_eq!((settings.nodes, settings.zone, settings.max_attempts), (4, ZoneId(1), 3));
    let group = DeduplicationScope::Zone;
    assert_eq!(
        settings.classes[0].idempotency,
        Idempotency::Deduplicated { scope: group, window: Duration::from_millis(7500) }
    );
    assert_eq!(
        (settings.classes[0].latency_stretch, settings.classes[0].value, settings.classes[0].kind),
        (1.25, 2.5, None)
    );
    assert_eq!(settings.report_fields, [ReportField::FreeSlots, ReportField::Queue, ReportField::InFlight]);
    assert_eq!(settings.warm_up_time, Duration::from_secs(22));
    for bad in ["tick=fast", "caps.probing=perhaps", "no value", "classes.count=1\nclasses.0.effect=odd"] {
        assert!(matches!(parse_settings(bad), Err(WireError::Setting(_))), "{bad}");
    }
}

#[test]
fn rejects_malformed_batches_and_skips_unknown_records() {
    assert!(parse(&batch(1, &[record(200, &[&[1, 2, 3]])])).expect("skipped").is_empty());
    let sound = demand(1, 2);
    let short = record(20, &[&sound[5..sound.len() - 1]]);
    assert_eq!(parse(&batch(1, &[short])).unwrap_err(), WireError::Truncated("DEMAND"));
    let long = record(20, &[&sound[5..], &[0]]);
    assert_eq!(parse(&batch(1, &[long])).unwrap_err(), WireError::WrongLength("DEMAND"));
    let status = record(60, &[&1u32.to_le_bytes(), &7u32.to_le_bytes(), &[99], &[0; 9]]);
    assert_eq!(parse(&batch(1, &[status])).unwrap_err(), WireError::BadValue("SAMPLED", 99));
    let mut miscounted = batch(1, &[demand(1, 2)]);
    miscounted[12] = 2;
    assert_eq!(parse(&miscounted).unwrap_err(), WireError::Truncated("batch"));
}

fn adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pebblepost-dispatch-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // It may have ended before all was written: its exit is what is looked at.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

/// Codes of the records in a stream of replies, and whether the stream ends with a whole one.
fn codes(mut bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut replies = vec![];
    while !bytes.is_empty() {
        let count = u32::from_le_bytes(bytes[..4].try_into().expect("count"));
        bytes = &bytes[8..];
        let mut reply = vec![];
        for _ in 0..count {
            let size = u32::from_le_bytes(bytes[1..5].try_into().expect("size")) as usize;
            reply.push(bytes[0]);
            bytes = &bytes[5 + size..];
        }
        replies.push(reply);
    }
    replies
}

#[test]
fn adapter_probes_then_sends_and_exits_cleanly() {
    let input = [
        batch(1_000, &[]),
        batch(2_000, &[launch(3, SETTINGS), list(3, 77), demand(3, 1)]),
        batch(3_000_000, &[probed(3, 77, &[2.0, 0.0, 0.0])]),
    ]
    .concat();
    let output = adapter(&input);
    assert!(output.status.success() && output.stderr.is_empty());
    let replies = codes(&output.stdout);
    assert_eq!(replies.len(), 3);
    assert!(replies[0].is_empty());
    assert!(replies[1].contains(&60) && !replies[1].contains(&10), "a probe first: {replies:?}");
    assert!(replies[2].contains(&10), "then the job: {replies:?}");
}

#[test]
fn relaunch_in_one_batch_starts_without_state() {
    let kill = record(30, &[&3u32.to_le_bytes()]);
    let input = [
        batch(2_000, &[launch(3, SETTINGS), list(3, 77), demand(3, 1)]),
        batch(3_000_000, &[kill.clone(), launch(3, SETTINGS), list(3, 77)]),
        batch(4_000_000, &[probed(3, 77, &[2.0, 0.0, 0.0])]),
        batch(5_000_000, &[kill]),
    ]
    .concat();
    let output = adapter(&input);
    assert!(output.status.success());
    assert!(codes(&output.stdout)[2].is_empty(), "the request died with the first life");
}

#[test]
fn adapter_exits_with_one_message_on_bad_input() {
    let cases: [(&str, Vec<u8>, &str); 6] = [
        ("a header cut short", vec![1, 2, 3], "truncated header"),
        ("a batch cut short", batch(1, &[demand(1, 1)])[..30].to_vec(), "truncated batch"),
        ("an unknown instance", batch(1, &[demand(9, 1)]), "unknown instance 9"),
        ("an unknown instance killed", batch(1, &[record(30, &[&9u32.to_le_bytes()])]), "unknown instance 9"),
        ("a wrong length", batch(1, &[record(40, &[&[0; 9]])]), "wrong length of LEFT"),
        ("a bad setting", batch(1, &[launch(1, "tick=soon")]), "invalid setting tick=soon"),
    ];
    for (name, input, message) in cases {
        let output = adapter(&input);
        assert_eq!(output.status.code(), Some(1), "{name}");
        let errors = String::from_utf8(output.stderr).expect("text");
        assert_eq!(errors, format!("pebblepost-dispatch-adapter: {message}\n"), "{name}");
        assert!(output.stdout.is_empty(), "{name}");
    }
}

#[test]
fn translates_rules_and_absent_keys_restrict_nothing() {
    let settings = parse_settings(SETTINGS).expect("valid");
    assert_eq!((&settings.classes[0].only_kinds, &settings.classes[0].only_zones), (&None, &None));
    assert_eq!((settings.close_idle_within, settings.full_may_have_run), (None, false));

    let more = "classes.0.kindsOnly=0,2\nclasses.0.failureDomainsAllowed=9\n\
        invariants.letGoIn=1000000000\ninvariants.mayShedBegun=true\n";
    let settings = parse_settings(&format!("{SETTINGS}{more}")).expect("valid");
    assert_eq!(settings.classes[0].only_kinds, Some(vec![KindId(0), KindId(2)]));
    assert_eq!(
        settings.classes[0].only_zones,
        Some(vec![ZoneId(9)]),
        "an unknown index is kept: it permits nobody"
    );
    assert_eq!(
        (settings.close_idle_within, settings.full_may_have_run),
        (Some(Duration::from_secs(1)), true)
    );

    let settings = parse_settings(&format!("{SETTINGS}classes.0.kindsOnly=\n")).expect("valid");
    assert_eq!(settings.classes[0].only_kinds, Some(vec![]), "an empty set permits nobody");

    for bad in [
        "classes.0.kindsOnly=0,big",
        "classes.0.failureDomainsAllowed=-1",
        "invariants.letGoIn=soon",
        "invariants.mayShedBegun=maybe",
    ] {
        let error = parse_settings(&format!("{SETTINGS}{bad}\n")).expect_err(bad);
        assert_eq!(error, WireError::Setting(bad.to_owned()), "the message names the key");
    }
}

#[test]
fn writes_the_close_of_idle_connections() {
    let mut reply = Reply::default();
    reply.push(3, &Action::CloseIdle { worker: WorkerId(0x2c90_11f2) });
    let expected = record(70, &[&3u32.to_le_bytes(), &0x2c90_11f2u32.to_le_bytes()]);
    assert_eq!(reply.take()[8..], expected);
}
