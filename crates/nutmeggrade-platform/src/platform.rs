//! Interface to the platform's object API.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::endpoint::Endpoint;
use nutmeggrade_core::object::{Changes, Object};
use serde_json::Value;

use crate::{PlatformError, Traffic};

/// The platform's object API: versioned objects, conditional writes, watches and the endpoint list.
///
/// Every async method makes one counted call. An object that was never written has version 0.
pub trait Platform: Send + Sync + 'static {
    /// Reads one object.
    fn read(&self, key: &str)
    -> impl Future<Output = Result<Option<Object>, PlatformError>> + Send;

    /// Creates an object if the key does not exist, and returns its version.
    fn create(
        &self,
        key: &str,
        value: &Value,
    ) -> impl Future<Output = Result<u64, PlatformError>> + Send;

    /// Replaces an object if its version is `version`, and returns the new version.
    fn replace(
        &self,
        key: &str,
        value: &Value,
        version: u64,
    ) -> impl Future<Output = Result<u64, PlatformError>> + Send;

    /// Removes an object if its version is `version`.
    fn remove(
        &self,
        key: &str,
        version: u64,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Lists the objects under a key prefix in key order.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Changes, PlatformError>> + Send;

    /// Lists at most `limit` objects under a key prefix whose keys follow `after`.
    fn list_after(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Changes, PlatformError>> + Send;

    /// Waits at most `wait` for changes under a key prefix after `revision`.
    fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, PlatformError>> + Send;

    /// Reads the list of endpoints, which lags behind the actual state.
    fn endpoints(&self) -> impl Future<Output = Result<Vec<Endpoint>, PlatformError>> + Send;

    /// Returns the number of calls by kind.
    fn calls(&self) -> BTreeMap<&'static str, u64>;

    /// Returns the bytes sent and received by those calls.
    fn traffic(&self) -> Traffic {
        Traffic::default()
    }
}
