//! Plan of the orders that bring an engine to the state operators want.

use nutmeggrade_core::order::{DesiredState, EngineState, Order};

/// Next step of an engine's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// The engine is in the desired state.
    Done,
    /// The last order is still being executed.
    Busy,
    /// Send this order.
    Send(Order),
    /// The engine has seen a higher fencing number: another instance is the owner.
    Outdated,
}

/// Compares the desired state with the engine's state and selects the next order.
///
/// The state is read back before every order, whichever owner sent the last one. So a new owner
/// that takes over midway repeats no completed order, and an order that was lost, or undone by a
/// late order of an earlier owner at an engine without fencing checks, is sent again. Unloads come
/// first, to free memory before it is needed.
pub fn next_step(desired: &DesiredState, state: &EngineState, epoch: u64) -> NextStep {
    if state.fence > epoch {
        return NextStep::Outdated;
    }
    if !state.loading.is_empty() {
        return NextStep::Busy;
    }
    let first_different = |is_wanted: bool| {
        let mut matching = desired.loads.iter().filter(move |(_, w)| **w == is_wanted);
        matching
            .find(|(load, _)| state.loaded.contains(load) != is_wanted)
            .map(|(load, _)| load.clone())
    };
    if let Some(load) = first_different(false) {
        return NextStep::Send(Order::Unload { load });
    }
    if let Some(role) = desired.role.filter(|r| *r != state.role) {
        return NextStep::Send(Order::Role { role });
    }
    match first_different(true) {
        Some(load) => NextStep::Send(Order::Load { load }),
        None => NextStep::Done,
    }
}
