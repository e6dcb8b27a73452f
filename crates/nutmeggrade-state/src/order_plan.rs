//! What an owner does next to bring an engine where operators want it.

use nutmeggrade_core::order::{DesiredState, EngineState, Order};

/// What an owner does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// The engine has and does what is wanted.
    Done,
    /// The last order still has its effect to show.
    Busy,
    /// Send this order.
    Send(Order),
    /// The engine has seen a higher fencing number: another instance is the owner.
    Outdated,
}

/// Compares what is wanted with what the engine says, and picks one order at a time.
///
/// The state is read back before every order, whoever gave the last one. So an owner that takes over
/// in the middle repeats nothing that took effect, and an order that was lost, or undone by a late
/// order of an earlier owner at an engine that does not check fencing numbers, is given again.
/// Memory is freed before it is needed: what must go goes first.
pub fn next_step(desired: &DesiredState, state: &EngineState, epoch: u64) -> NextStep {
    if state.fence > epoch {
        return NextStep::Outdated;
    }
    if !state.loading.is_empty() {
        return NextStep::Busy;
    }
    let different = |wanted: bool| {
        let mut named = desired.loads.iter().filter(move |(_, w)| **w == wanted);
        named.find(|(load, _)| state.loaded.contains(load) != wanted).map(|(load, _)| load.clone())
    };
    if let Some(load) = different(false) {
        return NextStep::Send(Order::Unload { load });
    }
    if let Some(role) = desired.role.filter(|r| *r != state.role) {
        return NextStep::Send(Order::Role { role });
    }
    match different(true) {
        Some(load) => NextStep::Send(Order::Load { load }),
        None => NextStep::Done,
    }
}
