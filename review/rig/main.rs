//! The scripts of `review/`: `rig CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! couldn't run. With TROUBLE=0 the disruption is left out.

mod group_clock;
mod http;
mod job;
mod large_job;
mod record;
mod route_removed;
mod step;
mod system;
mod transcriber;

use record::Record;
use std::path::PathBuf;
use std::sync::Arc;

/// Outcome of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let record = Arc::new(Record::new(PathBuf::from(arguments.next().unwrap_or_else(|| "record.txt".into()))));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.say(format!("case {case}, disruption: {}", if trouble { "yes" } else { "no" }));
    let verdict = match case.as_str() {
        "group-clock" => group_clock::run(&record, trouble),
        "large-job" => large_job::run(&record, trouble),
        "route-removed" => route_removed::run(&record, trouble),
        other => Verdict::CouldNotRun(format!("no case {other:?}")),
    };
    let code = match verdict {
        Verdict::Held => {
            record.say("the rule held");
            0
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            1
        }
        Verdict::CouldNotRun(reason) => {
            record.say(format!("the case could not run: {reason}"));
            2
        }
    };
    record.write();
    std::process::exit(code);
}
