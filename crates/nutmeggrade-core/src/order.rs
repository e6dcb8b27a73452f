//! Operators' orders to engines: desired state, progress, and slots for loading weights.

mod desired;
mod effect;
mod engine_order;
mod load;
mod weight_slot;

pub use desired::{Desired, ORDER_PREFIX};
pub use effect::{EFFECT_PREFIX, Effect, Progress};
pub use engine_order::{EngineState, FencedOrder, ORDERS_PATH, Order, Role};
pub use load::{BadLoad, Load};
pub use weight_slot::{WEIGHT_PREFIX, WeightSlot};
