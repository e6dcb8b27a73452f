//! An event that is passed on in pieces because of its size.

use nutmeggrade_core::routing::EventPosition;

/// An event that is passed on in pieces and has not ended.
#[derive(Debug, Clone, Copy)]
pub struct LargeEvent {
    /// Its id, if that is in the first piece.
    pub id: Option<EventPosition>,
    /// Whether it was passed on before, so that its pieces are dropped.
    pub is_repeat: bool,
}
