//! Orders that an engine takes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nutmeggrade_core::order::{EngineState, FencedOrder, ModelRef, Order};
use serde::Serialize;
use tokio::time::Instant;

/// One order as the engine saw it.
#[derive(Debug, Clone, Serialize)]
pub struct Seen {
    #[serde(flatten)]
    order: FencedOrder,
    taken: bool,
    at_ms: u64,
}

/// What an engine has loaded and which orders it saw.
#[derive(Debug, Default)]
pub struct Orders {
    state: EngineState,
    loading: Option<(Instant, ModelRef)>,
    /// Time that a load takes.
    pub load_time: Duration,
    /// Whether old fencing numbers are obeyed.
    pub ignores_fence: bool,
    /// Every order, oldest first.
    pub seen: Vec<Seen>,
}

impl Orders {
    /// Takes an order; says whether it was taken.
    pub fn take(&mut self, order: &FencedOrder) -> bool {
        let taken = self.ignores_fence || order.fence >= self.state.fence;
        self.seen.push(Seen { order: order.clone(), taken, at_ms: wall_ms() });
        if !taken {
            return false;
        }
        if !self.ignores_fence {
            self.state.fence = order.fence;
        }
        match &order.order {
            Order::Load { load } => {
                self.loading = Some((Instant::now() + self.load_time, load.clone()));
            }
            Order::Unload { load } => {
                self.state.loaded.remove(load);
            }
            Order::Role { role } => self.state.role = *role,
        }
        true
    }

    /// Returns what is loaded and what is being loaded.
    pub fn state(&mut self) -> EngineState {
        if let Some((_, load)) = self.loading.take_if(|(at, _)| *at <= Instant::now()) {
            self.state.loaded.insert(load);
        }
        self.state.loading = self.loading.iter().map(|(_, load)| load.clone()).collect();
        self.state.clone()
    }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
