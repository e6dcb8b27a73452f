//! Operators' orders to engines: desired state, progress, and slots for loading weights.

mod desired_state;
mod engine_order;
mod model_ref;
mod order_status;
mod weight_slot;

pub use desired_state::{DesiredState, ORDER_PREFIX};
pub use engine_order::{EngineState, FencedOrder, ORDERS_PATH, Order, Role};
pub use model_ref::{ModelRef, ParseModelRefError};
pub use order_status::{ORDER_STATUS_PREFIX, OrderStatus, Progress};
pub use weight_slot::{WEIGHT_PREFIX, WeightSlot};
