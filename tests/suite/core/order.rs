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

fn load_order(text: &str) -> Order {
    Order::Load { load: model_ref(text) }
}

fn unload_order(text: &str) -> Order {
    Order::Unload { load: model_ref(text) }
}

fn role_order(role: Role) -> Order {
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
    first_load: &[load_order("m@2")], &state(0, &["m@1"], &[], Role::Both),
        &NextStep::Send(load_order("m@2"));
    loading: &[load_order("m@2")], &state(5, &[], &["m@2"], Role::Both), &NextStep::Busy;
    loaded: &[load_order("m@2")], &state(5, &["m@1", "m@2"], &[], Role::Both), &NextStep::Done;
    old_goes_first: &[load_order("m@2"), unload_order("m@1")],
        &state(5, &["m@1"], &[], Role::Both),
        &NextStep::Send(unload_order("m@1"));
    role_differs: &[role_order(Role::Decode)], &state(5, &[], &[], Role::Both),
        &NextStep::Send(role_order(Role::Decode));
    last_order_wins: &[load_order("m"), unload_order("m")], &state(5, &[], &[], Role::Both),
        &NextStep::Done;
    other_owner: &[load_order("m")], &state(6, &[], &[], Role::Both), &NextStep::Outdated;
    other_order_still_runs: &[role_order(Role::Decode)], &state(5, &[], &["m"], Role::Both),
        &NextStep::Busy;
});

// Guards against a late version of the desired state, from a restarted watch, that undoes the newer
// order.
#[rstest]
fn late_version_is_dropped() {
    let endpoint = EndpointId::new("engine-0").expect("id");
    let mut table = OrderTable::new();
    table.update(&endpoint, &desired(&[load_order("m"), unload_order("m")]));
    table.update(&endpoint, &desired(&[load_order("m")]));
    let versions: Vec<_> = table.wanted().map(|(_, d)| d.version).collect();
    assert_eq!(versions, [2]);
}
