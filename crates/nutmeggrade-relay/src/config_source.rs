//! The text of the configuration in force, packed for peers.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use nutmeggrade_core::peer::{PackedText, TextHash};
use nutmeggrade_state::packing;

/// The text of a configuration as the platform wrote it, and the forms in which peers get it.
///
/// A change travels from instance to instance. Each form is packed once in the fleet, by an instance
/// that reads the store; the others pass on what they received.
#[derive(Debug, Default)]
pub struct ConfigSource {
    text: Bytes,
    hash: Option<TextHash>,
    revision: u64,
    is_from_peer: bool,
    /// The text before and its hash, against which the change is packed.
    previous: Option<(TextHash, Bytes)>,
    whole: OnceLock<Arc<PackedText>>,
    change: OnceLock<Arc<PackedText>>,
}

impl ConfigSource {
    /// Creates the source of a text that was read from the store.
    pub fn new(text: Bytes) -> Self {
        Self { hash: Some(TextHash::of(&text)), text, ..Self::default() }
    }

    /// Creates the source of a text that a peer sent.
    pub fn received(text: Bytes, packed: PackedText) -> Self {
        let is_change = packed.base.is_some();
        let source = Self { text, hash: Some(packed.hash), is_from_peer: true, ..Self::default() };
        let form = OnceLock::from(Arc::new(packed));
        if is_change { Self { change: form, ..source } } else { Self { whole: form, ..source } }
    }

    /// Sets the revision of the store at which the text was read.
    #[must_use]
    pub fn with_revision(self, revision: u64) -> Self {
        Self { revision, ..self }
    }

    /// Sets the text that was in force before, against which changes are packed.
    #[must_use]
    pub fn with_previous(mut self, previous: &Self) -> Self {
        self.previous = previous.hash.map(|hash| (hash, previous.text.clone()));
        self
    }

    /// Returns the text.
    pub const fn text(&self) -> &Bytes {
        &self.text
    }

    /// Returns the revision of the store at which the text was read.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns who supplied the text, for logs.
    pub const fn supplier(&self) -> &'static str {
        if self.is_from_peer { "peer" } else { "store" }
    }

    /// Returns the hash of the text, or `None` if there is none yet.
    pub const fn hash(&self) -> Option<TextHash> {
        self.hash
    }

    /// Returns the text for a peer that has the text with the hash `base`: the change if it is known,
    /// otherwise the whole text.
    ///
    /// # Errors
    ///
    /// Fails if the compressor does.
    pub fn packed_for(&self, base: Option<TextHash>) -> std::io::Result<Arc<PackedText>> {
        if let Some(change) = self.change(base)? {
            return Ok(change);
        }
        if let Some(whole) = self.whole.get() {
            return Ok(Arc::clone(whole));
        }
        let packed = Arc::new(packing::pack(&self.text)?);
        Ok(Arc::clone(self.whole.get_or_init(|| packed)))
    }

    fn change(&self, base: Option<TextHash>) -> std::io::Result<Option<Arc<PackedText>>> {
        let Some(base) = base else { return Ok(None) };
        if let Some(change) = self.change.get() {
            return Ok((change.base == Some(base)).then(|| Arc::clone(change)));
        }
        let Some((_, previous)) = self.previous.as_ref().filter(|(hash, _)| *hash == base) else {
            return Ok(None);
        };
        let packed = Arc::new(packing::pack_change(previous, &self.text)?);
        Ok(Some(Arc::clone(self.change.get_or_init(|| packed))))
    }
}
