//! The codec of the simulator's byte protocol, and the built adapter end to end.

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

fn encode_record(code: u8, parts: &[&[u8]]) -> Vec<u8> {
    let fields = parts.concat();
    [&[code][..], &(fields.len() as u32).to_le_bytes(), &fields].concat()
}

fn encode_launch(instance: u32, settings: &str) -> Vec<u8> {
    let len = (settings.len() as u32).to_le_bytes();
    encode_record(90, &[&instance.to_le_bytes(), &9u64.to_le_bytes(), &len, settings.as_bytes()])
}

/// Encodes a cached member list of one ready worker.
fn encode_member_list(instance: u32, worker: u32) -> Vec<u8> {
    let entry = [&worker.to_le_bytes()[..], &[1, 0, 0, 0, 0, 0, 1], &1f32.to_le_bytes(), &[0; 8]].concat();
    let head = [&[2u8][..], &1u32.to_le_bytes(), &1u32.to_le_bytes()].concat();
    encode_record(50, &[&instance.to_le_bytes(), &head, &entry])
}

fn encode_request(instance: u32, id: u32) -> Vec<u8> {
    let rest = [&[0u8, 0][..], &[0; 16], &[0, 0], &5_000_000_000u64.to_le_bytes(), &[0]].concat();
    let needs = [1f32.to_le_bytes(), 0f32.to_le_bytes()].concat();
    encode_record(20, &[&instance.to_le_bytes(), &id.to_le_bytes(), &rest, &needs])
}

fn encode_probe_outcome(instance: u32, worker: u32, report: &[f32]) -> Vec<u8> {
    let values: Vec<u8> = report.iter().flat_map(|value| value.to_le_bytes()).collect();
    let head = [&worker.to_le_bytes()[..], &[1], &1_000_000u64.to_le_bytes(), &[report.len() as u8]].concat();
    encode_record(60, &[&instance.to_le_bytes(), &head, &values])
}

fn encode_batch(now: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let head = [(body.len() as u32).to_le_bytes(), (records.len() as u32).to_le_bytes()].concat();
    [&now.to_le_bytes()[..], &head, &body].concat()
}

fn decode_batch(bytes: &[u8]) -> Result<Vec<(u32, Message)>, WireError> {
    let header: [u8; BATCH_HEADER_BYTES] = bytes[..BATCH_HEADER_BYTES].try_into().expect("a complete header");
    parse_batch(&BatchHeader::parse(&header), &bytes[BATCH_HEADER_BYTES..])
}

#[test]
fn decodes_the_example_batch_of_the_protocol() {
    let hex = "90bf68f5010000005000000003000000\
        142d00000003000000c4913a5d0000001bb70000000000640ad2557c3bf0910000001c4e0e0000000001\
        0000004000000000\
        0a0c000000030000004d00000000000000\
        280800000005000000192b6f0e";
    let bytes: Vec<u8> =
        (0..hex.len() / 2).map(|i| u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).expect("hex")).collect();
    let messages = decode_batch(&bytes).expect("valid");
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
fn encodes_actions_as_in_the_protocol_examples() {
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
        &encode_record(
            10,
            &[
                &3u32.to_le_bytes(),
                &id.0.to_le_bytes(),
                &80_000_000u64.to_le_bytes(),
                &worker.0.to_le_bytes(),
            ],
        ),
        &encode_record(50, &[&3u32.to_le_bytes(), &at.0.to_le_bytes(), &0x4du64.to_le_bytes()]),
        &encode_record(
            20,
            &[&3u32.to_le_bytes(), &0x0e6f_2b19u32.to_le_bytes(), &250_000_000u64.to_le_bytes()],
        ),
    ]
    .concat();
    assert_eq!(bytes, expected);
    assert_eq!(reply.take(), [0; 8], "take() leaves an empty reply");
}

#[test]
fn parses_settings_and_ignores_unknown_keys() {
    let settings = parse_settings(SETTINGS).expect("valid");
    assert_eq!((settings.nodes, settings.zone, settings.max_attempts), (4, ZoneId(1), 3));
    let scope = DeduplicationScope::Zone;
    assert_eq!(
        settings.classes[0].idempotency,
        Idempotency::Deduplicated { scope, window: Duration::from_millis(7500) }
    );
    assert_eq!(
        (settings.classes[0].latency_stretch, settings.classes[0].value, settings.classes[0].kind),
        (1.25, 2.5, None)
    );
    assert_eq!(settings.report_fields, [ReportField::FreeSlots, ReportField::Queue, ReportField::InFlight]);
    assert_eq!(settings.warm_up_time, Duration::from_secs(22));
    for invalid in ["tick=fast", "caps.probing=perhaps", "no value", "classes.count=1\nclasses.0.effect=odd"]
    {
        assert!(matches!(parse_settings(invalid), Err(WireError::Setting(_))), "{invalid}");
    }
}

#[test]
fn rejects_malformed_batches_and_skips_unknown_records() {
    assert!(
        decode_batch(&encode_batch(1, &[encode_record(200, &[&[1, 2, 3]])])).expect("skipped").is_empty()
    );
    let valid = encode_request(1, 2);
    let short = encode_record(20, &[&valid[5..valid.len() - 1]]);
    assert_eq!(decode_batch(&encode_batch(1, &[short])).unwrap_err(), WireError::Truncated("DEMAND"));
    let long = encode_record(20, &[&valid[5..], &[0]]);
    assert_eq!(decode_batch(&encode_batch(1, &[long])).unwrap_err(), WireError::WrongLength("DEMAND"));
    let unknown_status = encode_record(60, &[&1u32.to_le_bytes(), &7u32.to_le_bytes(), &[99], &[0; 9]]);
    assert_eq!(
        decode_batch(&encode_batch(1, &[unknown_status])).unwrap_err(),
        WireError::BadValue("SAMPLED", 99)
    );
    let mut miscounted = encode_batch(1, &[encode_request(1, 2)]);
    miscounted[12] = 2;
    assert_eq!(decode_batch(&miscounted).unwrap_err(), WireError::Truncated("batch"));
}

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pebblepost-dispatch-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // Writing fails if the adapter exits before it has read all input. The tests check its exit only.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

/// Returns the record codes of each reply in a stream. Panics if the last reply is incomplete.
fn decode_reply_codes(mut bytes: &[u8]) -> Vec<Vec<u8>> {
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
        encode_batch(1_000, &[]),
        encode_batch(2_000, &[encode_launch(3, SETTINGS), encode_member_list(3, 77), encode_request(3, 1)]),
        encode_batch(3_000_000, &[encode_probe_outcome(3, 77, &[2.0, 0.0, 0.0])]),
    ]
    .concat();
    let output = run_adapter(&input);
    assert!(output.status.success() && output.stderr.is_empty());
    let replies = decode_reply_codes(&output.stdout);
    assert_eq!(replies.len(), 3);
    assert!(replies[0].is_empty());
    assert!(
        replies[1].contains(&60) && !replies[1].contains(&10),
        "the request is probed for and not sent yet: {replies:?}"
    );
    assert!(replies[2].contains(&10), "the answered probe leads to the send: {replies:?}");
}

#[test]
fn relaunch_of_an_instance_within_one_batch_discards_its_state() {
    let shutdown = encode_record(30, &[&3u32.to_le_bytes()]);
    let input = [
        encode_batch(2_000, &[encode_launch(3, SETTINGS), encode_member_list(3, 77), encode_request(3, 1)]),
        encode_batch(3_000_000, &[shutdown.clone(), encode_launch(3, SETTINGS), encode_member_list(3, 77)]),
        encode_batch(4_000_000, &[encode_probe_outcome(3, 77, &[2.0, 0.0, 0.0])]),
        encode_batch(5_000_000, &[shutdown]),
    ]
    .concat();
    let output = run_adapter(&input);
    assert!(output.status.success());
    assert!(
        decode_reply_codes(&output.stdout)[2].is_empty(),
        "the relaunched instance must not know the earlier request"
    );
}

#[test]
fn adapter_exits_with_one_error_message_on_invalid_input() {
    let cases: [(&str, Vec<u8>, &str); 6] = [
        ("truncated header", vec![1, 2, 3], "truncated header"),
        ("truncated batch", encode_batch(1, &[encode_request(1, 1)])[..30].to_vec(), "truncated batch"),
        ("request to an unknown instance", encode_batch(1, &[encode_request(9, 1)]), "unknown instance 9"),
        (
            "shutdown of an unknown instance",
            encode_batch(1, &[encode_record(30, &[&9u32.to_le_bytes()])]),
            "unknown instance 9",
        ),
        (
            "record of a wrong length",
            encode_batch(1, &[encode_record(40, &[&[0; 9]])]),
            "wrong length of LEFT",
        ),
        ("invalid setting", encode_batch(1, &[encode_launch(1, "tick=soon")]), "invalid setting tick=soon"),
    ];
    for (case, input, message) in cases {
        let output = run_adapter(&input);
        assert_eq!(output.status.code(), Some(1), "{case}");
        let errors = String::from_utf8(output.stderr).expect("text");
        assert_eq!(errors, format!("pebblepost-dispatch-adapter: {message}\n"), "{case}");
        assert!(output.stdout.is_empty(), "{case}");
    }
}

#[test]
fn parses_placement_rules_and_defaults_to_no_restriction() {
    let settings = parse_settings(SETTINGS).expect("valid");
    assert_eq!((&settings.classes[0].only_kinds, &settings.classes[0].only_zones), (&None, &None));
    assert_eq!((settings.close_idle_within, settings.full_may_have_run), (None, false));

    let rules = "classes.0.kindsOnly=0,2\nclasses.0.failureDomainsAllowed=9\n\
        invariants.letGoIn=1000000000\ninvariants.mayShedBegun=true\n";
    let settings = parse_settings(&format!("{SETTINGS}{rules}")).expect("valid");
    assert_eq!(settings.classes[0].only_kinds, Some(vec![KindId(0), KindId(2)]));
    assert_eq!(
        settings.classes[0].only_zones,
        Some(vec![ZoneId(9)]),
        "an unknown zone is kept and permits no worker"
    );
    assert_eq!(
        (settings.close_idle_within, settings.full_may_have_run),
        (Some(Duration::from_secs(1)), true)
    );

    let settings = parse_settings(&format!("{SETTINGS}classes.0.kindsOnly=\n")).expect("valid");
    assert_eq!(settings.classes[0].only_kinds, Some(vec![]), "an empty set permits no worker");

    for invalid in [
        "classes.0.kindsOnly=0,big",
        "classes.0.failureDomainsAllowed=-1",
        "invariants.letGoIn=soon",
        "invariants.mayShedBegun=maybe",
    ] {
        let error = parse_settings(&format!("{SETTINGS}{invalid}\n")).expect_err(invalid);
        assert_eq!(error, WireError::Setting(invalid.to_owned()), "the error holds the line");
    }
}

#[test]
fn encodes_the_closing_of_idle_connections() {
    let mut reply = Reply::default();
    reply.push(3, &Action::CloseIdle { worker: WorkerId(0x2c90_11f2) });
    let expected = encode_record(70, &[&3u32.to_le_bytes(), &0x2c90_11f2u32.to_le_bytes()]);
    assert_eq!(reply.take()[8..], expected);
}
