//! Next steps of an engine's owner towards the state that operators ordered.

use std::collections::BTreeSet;

use nutmeggrade_core::order::{DesiredState, EngineState, ModelRef, Order, Role};
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::order_plan::{NextStep, next_step};
use nutmeggrade_state::order_table::OrderTable;
use rstest::rstest;

fn model_ref(text: &str) -> ModelRef {
    ModelRef::parse(text).expect("a model reference")
}

fn reads(text: &str, expected: Option<&str>) {
    let parsed = ModelRef::parse(text).ok().map(|l| l.to_string());
    assert_eq!(parsed.as_deref(), expected);
}

cases!(reads {
    model: "m", Some("m");
    version: "m@7", Some("m@7");
    adapter: "m+kozijn", Some("m+kozijn");
    all: "m@7+kozijn", Some("m@7+kozijn");
    empty: "", None;
    no_model: "@7", None;
    empty_version: "m@", None;
    bad_adapter: "m+a b", None;
});

fn desired(orders: &[Order]) -> DesiredState {
    let id = ChangeId::new("c1").expect("id");
    let next = |before: Option<DesiredState>, order| {
        Some(DesiredState::new(before.as_ref(), id.clone(), "anna", "work", order))
    };
    orders.iter().fold(None, next).expect("an order")
}

fn loads(text: &str) -> Order {
    Order::Load { load: model_ref(text) }
}

fn unloads(text: &str) -> Order {
    Order::Unload { load: model_ref(text) }
}

fn role(role: Role) -> Order {
    Order::Role { role }
}

fn state(fence: u64, loaded: &[&str], loading: &[&str], role: Role) -> EngineState {
    let set =
        |names: &[&str]| -> BTreeSet<ModelRef> { names.iter().map(|n| model_ref(n)).collect() };
    EngineState { fence, loaded: set(loaded), loading: set(loading), role }
}

fn plans(orders: &[Order], state: &EngineState, expected: &NextStep) {
    assert_eq!(next_step(&desired(orders), state, 5), *expected);
}

cases!(plans {
    first_load: &[loads("m@2")], &state(0, &["m@1"], &[], Role::Both),
        &NextStep::Send(loads("m@2"));
    loading: &[loads("m@2")], &state(5, &[], &["m@2"], Role::Both), &NextStep::Busy;
    loaded: &[loads("m@2")], &state(5, &["m@1", "m@2"], &[], Role::Both), &NextStep::Done;
    old_goes_first: &[loads("m@2"), unloads("m@1")], &state(5, &["m@1"], &[], Role::Both),
        &NextStep::Send(unloads("m@1"));
    role_differs: &[role(Role::Decode)], &state(5, &[], &[], Role::Both),
        &NextStep::Send(role(Role::Decode));
    last_order_wins: &[loads("m"), unloads("m")], &state(5, &[], &[], Role::Both), &NextStep::Done;
    other_owner: &[loads("m")], &state(6, &[], &[], Role::Both), &NextStep::Outdated;
    other_order_still_runs: &[role(Role::Decode)], &state(5, &[], &["m"], Role::Both),
        &NextStep::Busy;
});

// Guards against a late version of the desired state, from a restarted watch, that undoes the newer
// order.
#[rstest]
fn late_version_is_dropped() {
    let endpoint = EndpointId::new("engine-0").expect("id");
    let mut table = OrderTable::new();
    table.offer(&endpoint, &desired(&[loads("m"), unloads("m")]));
    table.offer(&endpoint, &desired(&[loads("m")]));
    let versions: Vec<_> = table.wanted().map(|(_, d)| d.version).collect();
    assert_eq!(versions, [2]);
}
