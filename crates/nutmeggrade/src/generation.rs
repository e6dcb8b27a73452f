//! Generations: from a caller's request to the last token.

mod admission;
mod chunk;
mod completion;
mod seat_hold;
mod session;
mod start;

pub use admission::{Placement, admit};
pub use chunk::{Chunk, whole};
pub use completion::Completion;
pub use seat_hold::{SEAT_PAUSE, SeatHold};
pub use session::{Item, Session};
pub use start::{resume, start};
