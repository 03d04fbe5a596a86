//! Tests of the audit of grants against the disruption budgets.

use pebblepost_harness::dispatcher::ZONES;
use pebblepost_harness::release::grant_audit::GrantAudit;
use serde_json::{Value, json};

#[test]
fn a_grant_is_over_budget_only_while_another_member_is_out() {
    let member = |ready: bool| {
        let card = json!({"role": "dispatcher", "zone": ZONES[0], "ready": ready});
        json!({"member": {"presence": "here", "card": card}})
    };
    let permit = json!({"permit": {"granted": 7}});
    let mut audit = GrantAudit::default();
    let entries = json!({
        "member/a": {"value": member(true)}, "member/b": {"value": member(true)},
        "budget/dispatcher": {"value": {"budget": {"most": {"count": 1}, "most_in_zone": null}}},
    });
    audit.apply_snapshot(&json!({"revision": 3, "entries": entries}));
    let change = |revision: u64, items: Value| json!({"revision": revision, "items": items});
    audit.apply_change(&change(4, json!([["permit/dispatcher/a", permit]])));
    assert_eq!((audit.grants, audit.over_budget.len()), ([1, 0], 0));
    // Another replica sends revision 4 again, so it is ignored.
    audit.apply_change(&change(4, json!([["permit/dispatcher/b", permit]])));
    audit.apply_change(&change(5, json!([["permit/dispatcher/a", null], ["permit/dispatcher/b", permit]])));
    assert_eq!((audit.grants, audit.over_budget.len()), ([2, 0], 0));
    audit.apply_change(&change(6, json!([["permit/dispatcher/b", null], ["member/b", member(false)]])));
    audit.apply_change(&change(7, json!([["permit/dispatcher/a", permit]])));
    assert_eq!(
        (audit.grants, audit.over_budget.len()),
        ([3, 0], 1),
        "member b is not ready and counts as out"
    );
    audit.apply_change(&change(8, json!([["drain/w", {}], ["permit/worker/w", permit]])));
    assert_eq!(
        (audit.grants, audit.over_budget.len()),
        ([3, 1], 1),
        "a grant to a worker without a known budget is over budget"
    );
}
