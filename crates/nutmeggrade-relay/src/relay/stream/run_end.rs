//! How the bytes of a stream's run ended.

use nutmeggrade_state::body_end::Completeness;

/// How the bytes of a stream's last run ended.
#[derive(Debug)]
pub struct RunEnd {
    /// Whether the stream is complete, as far as its bytes tell.
    pub completeness: Completeness,
    /// Error of the connection, if there was one.
    pub error: Option<hyper::Error>,
    /// Bytes that belonged to no complete event.
    pub partial_bytes: usize,
}

impl Default for RunEnd {
    fn default() -> Self {
        Self { completeness: Completeness::Undeclared, error: None, partial_bytes: 0 }
    }
}

impl RunEnd {
    /// Returns whether the end holds while the run is being migrated: another engine may have a copy
    /// of a run that broke off, and the order to stop a run closes its connection.
    pub const fn is_final(&self, is_stopping: bool) -> bool {
        match self.completeness {
            Completeness::Complete => true,
            Completeness::Undeclared => !is_stopping,
            Completeness::Truncated(_) => false,
        }
    }

    /// Returns why the stream is truncated, for logs.
    pub fn reason(&self) -> String {
        match (&self.error, self.completeness) {
            (Some(error), _) => error.to_string(),
            (None, Completeness::Truncated(reason)) => reason.as_str().to_owned(),
            (None, _) => "stopped and not moved".to_owned(),
        }
    }
}
