//! Generations: from the request to the last token.

mod admission;
mod attempt;
mod cancel;
mod chunk;
mod completion;
mod reconnect;
mod session;
mod slot_guard;
mod start;
mod suspect_guard;

pub use admission::{Placement, admit};
pub use cancel::cancel;
pub use chunk::{Chunk, full_response};
pub use completion::Completion;
pub use reconnect::{ReconnectError, reconnect};
pub use session::{Session, SessionEvent};
pub use slot_guard::{SLOT_RETRY_DELAY, SlotGuard};
pub use start::{resume, start};
pub use suspect_guard::SuspectGuard;
