//! Compresses texts, by themselves or against an earlier text.

use std::fmt;
use std::io;

use nutmeggrade_core::peer::{PackedText, TextHash};
use zstd::bulk::{Compressor, Decompressor};

/// Compression level: higher ones take several times as long for some percent.
const LEVEL: i32 = 3;
/// Largest text that is unpacked. A configuration has a megabyte in the platform's store.
const MAX_TEXT_BYTES: usize = 4 << 20;

/// Why a packed text can't be unpacked.
#[derive(Debug)]
pub enum UnpackError {
    /// It was packed against another text than the one given.
    OtherBase,
    /// The compressed bytes are damaged, or the text is too large.
    Damaged(io::Error),
    /// The text is not the one that was packed.
    OtherText,
}

impl fmt::Display for UnpackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OtherBase => f.write_str("packed against another text"),
            Self::Damaged(error) => write!(f, "damaged: {error}"),
            Self::OtherText => f.write_str("the hash differs"),
        }
    }
}

impl std::error::Error for UnpackError {}

/// Compresses a text by itself.
///
/// # Errors
///
/// Fails if the compressor does.
pub fn pack(text: &[u8]) -> io::Result<PackedText> {
    let bytes = Compressor::new(LEVEL)?.compress(text)?;
    Ok(PackedText { base: None, hash: TextHash::of(text), bytes })
}

/// Compresses a text against an earlier one; what they have in common takes almost nothing.
///
/// # Errors
///
/// Fails if the compressor does.
pub fn pack_change(base: &[u8], text: &[u8]) -> io::Result<PackedText> {
    let bytes = Compressor::with_dictionary(LEVEL, base)?.compress(text)?;
    Ok(PackedText { base: Some(TextHash::of(base)), hash: TextHash::of(text), bytes })
}

/// Restores a text. `base` is the earlier text that it may have been packed against.
///
/// # Errors
///
/// Fails if it was packed against another text or is damaged.
pub fn unpack(packed: &PackedText, base: &[u8]) -> Result<Vec<u8>, UnpackError> {
    let decompressor = match packed.base {
        None => Decompressor::new(),
        Some(hash) if hash == TextHash::of(base) => Decompressor::with_dictionary(base),
        Some(_) => return Err(UnpackError::OtherBase),
    };
    let text = decompressor
        .and_then(|mut decompressor| decompressor.decompress(&packed.bytes, MAX_TEXT_BYTES))
        .map_err(UnpackError::Damaged)?;
    if TextHash::of(&text) != packed.hash {
        return Err(UnpackError::OtherText);
    }
    Ok(text)
}
