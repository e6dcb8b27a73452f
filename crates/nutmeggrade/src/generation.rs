//! Generations: from a caller's request to the last token.

mod admission;
mod attempt;
mod cancel;
mod chunk;
mod completion;
mod reconnect;
mod session;
mod slot_hold;
mod start;
mod trial;

pub use admission::{Placement, admit};
pub use cancel::cancel;
pub use chunk::{Chunk, whole};
pub use completion::Completion;
pub use reconnect::{Lost, reconnect};
pub use session::{Item, Session};
pub use slot_hold::{SLOT_PAUSE, SlotHold};
pub use start::{resume, start};
pub use trial::Trial;
