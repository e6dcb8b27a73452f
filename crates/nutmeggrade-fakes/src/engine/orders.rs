//! Fenced orders that an engine receives.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nutmeggrade_core::order::{EngineState, FencedOrder, ModelRef, Order};
use serde::Serialize;
use tokio::time::Instant;

/// A received order, as listed in the log.
#[derive(Debug, Clone, Serialize)]
pub struct OrderRecord {
    #[serde(flatten)]
    order: FencedOrder,
    taken: bool,
    at_ms: u64,
}

/// Loaded models and the history of received orders.
#[derive(Debug, Default)]
pub struct Orders {
    state: EngineState,
    loading: Option<(Instant, ModelRef)>,
    /// Time that loading takes.
    pub load_time: Duration,
    /// Whether orders with outdated fencing numbers are applied.
    pub ignores_fence: bool,
    /// Every received order, oldest first.
    pub history: Vec<OrderRecord>,
}

impl Orders {
    /// Applies an order unless its fencing number is outdated; returns whether it was applied.
    pub fn apply(&mut self, order: &FencedOrder) -> bool {
        let taken = self.ignores_fence || order.fence >= self.state.fence;
        self.history.push(OrderRecord { order: order.clone(), taken, at_ms: unix_time_ms() });
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

    /// Returns what is loaded and what is being loaded, after completing a load that is due.
    pub fn state(&mut self) -> EngineState {
        if let Some((_, load)) = self.loading.take_if(|(at, _)| *at <= Instant::now()) {
            self.state.loaded.insert(load);
        }
        self.state.loading = self.loading.iter().map(|(_, load)| load.clone()).collect();
        self.state.clone()
    }
}

fn unix_time_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
