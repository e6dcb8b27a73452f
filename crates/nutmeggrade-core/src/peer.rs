//! Messages between instances, authenticated with a shared key.

mod assignment;
mod beacon;
mod config_reply;
mod content_id;
mod crash_suspect;
mod endpoint_changes;
mod endpoint_crash;
mod endpoint_groups;
mod envelope;
mod fleet_beacon;
mod fleet_message;
mod forwarded_request;
mod pace_report;
mod packed_text;
mod part_crash;
mod part_key;
mod refutation;
mod request_suspects;
mod shared_crash;
mod stream_key;
mod stream_version;
mod suspect;
mod sync;
mod text_hash;
mod waiting_entry;
mod waiting_report;

pub use assignment::{ASSIGNMENT_KEY, Assignment};
pub use beacon::{Beacon, Echo, InstanceEntry};
pub use config_reply::ConfigReply;
pub use content_id::ContentId;
pub use crash_suspect::CrashSuspect;
pub use endpoint_changes::{EndpointChange, EndpointChanges, EndpointUpdateBatch, EndpointsReply};
pub use endpoint_crash::EndpointCrash;
pub use endpoint_groups::EndpointGroups;
pub use envelope::{EnvelopeError, MAX_FRAME_BYTES, WIRE_VERSION, open, seal};
pub use fleet_beacon::{
    Contacts, FleetBeacon, HeardPeer, InstanceAddresses, Introduction, Revisions,
};
pub use fleet_message::{
    DomainPart, Fingerprint, FleetMessage, FleetOutcomes, InstanceLoad, RateLimits,
};
pub use forwarded_request::{FORWARDED_HEADER, ForwardedRequest};
pub use pace_report::PaceReport;
pub use packed_text::PackedText;
pub use part_crash::PartCrash;
pub use part_key::PartKey;
pub use refutation::Refutation;
pub use request_suspects::RequestSuspects;
pub use shared_crash::SharedCrash;
pub use stream_key::StreamKey;
pub use stream_version::StreamVersion;
pub use suspect::{Crash, PromptHash, Suspect};
pub use sync::{SYNC_PATH, SyncReply, SyncRequest, SyncTopic};
pub use text_hash::{TextHash, TextHashError};
pub use waiting_entry::{InvalidEntry, MAX_PRIORITY, WaitingEntry};
pub use waiting_report::{MAX_WAITING_ENTRIES, WaitingReport};
