//! Operators' orders to engines: desired state, progress, and slots for loading weights.

mod desired_state;
mod engine_order;
mod load;
mod order_status;
mod weight_slot;

pub use desired_state::{DesiredState, ORDER_PREFIX};
pub use engine_order::{EngineState, FencedOrder, ORDERS_PATH, Order, Role};
pub use load::{Load, ParseModelRefError};
pub use order_status::{ORDER_STATUS_PREFIX, OrderStatus, Progress};
pub use weight_slot::{WEIGHT_PREFIX, WeightSlot};
