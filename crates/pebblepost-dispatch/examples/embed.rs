//! Embeds a dispatcher in a program: events in, actions out. Three counters of free slots stand in for
//! workers.

use pebblepost_dispatch::api::{
    Action, CellId, ClassId, Entry, KindId, ListKind, RequestId, Status, TenantId, Time, WorkerId,
    WorkerState, ZoneId,
};
use pebblepost_dispatch::wire::parse_settings;
use pebblepost_dispatch::{Dispatcher, Event};
use std::time::Duration;

fn main() {
    let settings = parse_settings(
        "caps.probing=true\ncaps.sendCap=3\nclasses.count=1\nclasses.0.effect=read_like\n\
         classes.0.onTime=250000000\nclasses.0.deadline=5000000000\nreport.names=x0\n\
         domain.reportX0=free_slots\ntick=1000000",
    )
    .expect("valid settings");
    let mut now = Time(0);
    let mut dispatcher = Dispatcher::new(settings, 42, now);
    let entry = |worker| Entry {
        worker: WorkerId(worker),
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(0),
        state: WorkerState::Ready,
        name: 0,
        started: None,
    };
    let mut pending = vec![Event::Members { kind: ListKind::Full, entries: (0..3).map(entry).collect() }];
    let mut free = [2.0_f32; 3];
    for id in 0..5 {
        pending.push(Event::Request {
            id: RequestId(id),
            class: ClassId(0),
            tenant: TenantId(0),
            time_left: Duration::from_secs(5),
            repeat: false,
            slots: 1.0,
            memory: 0.0,
            work: None,
            key: 0,
        });
    }
    let mut placed = 0;
    while let Some(event) = (!pending.is_empty()).then(|| pending.remove(0)) {
        let mut actions = Vec::new();
        dispatcher.handle(now, event, &mut actions);
        now = now + Duration::from_millis(1);
        for action in actions {
            match action {
                Action::Probe { worker } => pending.push(Event::Probed {
                    worker,
                    status: Status::Ok,
                    latency: Duration::from_millis(1),
                    report: vec![free[worker.0 as usize]],
                }),
                Action::Send { id, worker, .. } => {
                    free[worker.0 as usize] -= 1.0;
                    placed += 1;
                    println!("request {} goes to worker {}", id.0, worker.0);
                }
                Action::SetTimer { .. } => {} // A real caller returns the token when the timer is due.
                other => println!("{other:?}"),
            }
        }
    }
    assert_eq!(placed, 5, "six free slots take five jobs");
}

#[cfg(test)]
mod tests {
    #[test]
    fn example_places_all_jobs() {
        super::main();
    }
}
