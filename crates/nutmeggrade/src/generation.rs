//! Generations: from a caller's request to the last token.

mod admission;
mod cancel;
mod chunk;
mod completion;
mod reconnect;
mod seat_hold;
mod session;
mod start;
mod trial;

pub use admission::{Placement, admit};
pub use cancel::cancel;
pub use chunk::{Chunk, whole};
pub use completion::Completion;
pub use reconnect::{Lost, reconnect};
pub use seat_hold::{SEAT_PAUSE, SeatHold};
pub use session::{Item, Session};
pub use start::{resume, start};
pub use trial::Trial;
