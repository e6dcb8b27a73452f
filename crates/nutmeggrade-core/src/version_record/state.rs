/// What the record of a service says of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VersionState {
    /// The service has endpoints of the version, or had some a moment ago.
    Serving,
    /// The service had no endpoint of the version when this was written.
    Retiring,
}
