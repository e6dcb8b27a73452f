//! The seam to the platform's object API.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::endpoint::Endpoint;
use nutmeggrade_core::object::{Changes, Object};
use serde_json::Value;

use crate::{PlatformError, Traffic};

/// The platform's object API: versions, conditional writes, watches, and the instance list.
///
/// Every method is one counted call. The version of an object that was never written is 0.
pub trait Platform: Send + Sync + 'static {
    /// Reads one object.
    fn read(&self, key: &str)
    -> impl Future<Output = Result<Option<Object>, PlatformError>> + Send;

    /// Creates an object if no object has the key, and returns its version.
    fn create(
        &self,
        key: &str,
        value: &Value,
    ) -> impl Future<Output = Result<u64, PlatformError>> + Send;

    /// Replaces an object if it has `version`, and returns the new version.
    fn replace(
        &self,
        key: &str,
        value: &Value,
        version: u64,
    ) -> impl Future<Output = Result<u64, PlatformError>> + Send;

    /// Removes an object if it has `version`.
    fn remove(
        &self,
        key: &str,
        version: u64,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Lists the objects under a prefix in the order of their keys.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Changes, PlatformError>> + Send;

    /// Lists at most `limit` objects under a prefix whose keys come after `after`.
    fn list_after(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Changes, PlatformError>> + Send;

    /// Waits at most `wait` for changes under a prefix after `revision`.
    fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, PlatformError>> + Send;

    /// Reads the lagging list of endpoints.
    fn endpoints(&self) -> impl Future<Output = Result<Vec<Endpoint>, PlatformError>> + Send;

    /// Returns the calls made so far, by kind.
    fn calls(&self) -> BTreeMap<&'static str, u64>;

    /// Returns the bytes of those calls.
    fn traffic(&self) -> Traffic {
        Traffic::default()
    }
}
