//! Numbered result codes.
//!
//! The table in `docs/RESULT-CODES.md` lists the same codes; a test compares the two.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal, $status:literal;)*) => {
        /// A numbered result. 1xxx: caller's request, 2xxx: load, 3xxx: endpoints,
        /// 4xxx: platform and this system, 5xxx: operators, 6xxx: settings.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// Every code, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the number.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the name used in JSON and logs.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Returns the HTTP status sent with the code.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }
        }
    };
}

codes! {
    /// The body is not the JSON that the path requires.
    BadJson = 1001, "bad_json", 400;
    /// The workspace header is missing or not a valid id.
    BadWorkspace = 1002, "bad_workspace", 400;
    /// No configured model has this name.
    UnknownModel = 1003, "unknown_model", 404;
    /// No configured service has this name.
    UnknownService = 1004, "unknown_service", 404;
    /// The service has no such operation.
    UnknownOperation = 1005, "unknown_operation", 404;
    /// The body is larger than the limit.
    BodyTooLarge = 1006, "body_too_large", 413;
    /// A non-idempotent operation was called without an idempotency key.
    KeyMissing = 1007, "key_missing", 400;
    /// The deadline is malformed or already past.
    BadDeadline = 1008, "bad_deadline", 400;
    /// The task header is not a configured task class.
    UnknownTask = 1009, "unknown_task", 400;
    /// The last event id is forged, damaged, or from another workspace.
    BadEventId = 1010, "bad_event_id", 400;
    /// The idempotency key was used before with a different request.
    KeyReused = 1011, "key_reused", 422;
    /// A number in the request is outside its range.
    OutOfRange = 1012, "out_of_range", 400;
    /// The path does not exist.
    NotFound = 1013, "not_found", 404;
    /// A header that the system reads is missing, repeated or invalid.
    BadHeader = 1014, "bad_header", 400;
    /// The body did not arrive in time.
    BodyTimeout = 1015, "body_timeout", 408;
    /// The request's API key belongs to no workspace.
    UnknownKey = 1016, "unknown_key", 401;
    /// The request frames its body in two ways, or has no `Host` header or several.
    BadFraming = 1017, "bad_framing", 400;
    /// No route matches the request's host and path.
    NoRoute = 1018, "no_route", 404;
    /// The queue is full, for this workspace or as a whole.
    QueueFull = 2001, "queue_full", 429;
    /// The request can't be served before its deadline.
    TooLate = 2002, "too_late", 503;
    /// The deadline passed while the request was being served.
    DeadlinePassed = 2003, "deadline_passed", 504;
    /// The caller closed its connection.
    CallerGone = 2004, "caller_gone", 499;
    /// The instance has reached its connection limit.
    TooManyConnections = 2005, "too_many_connections", 503;
    /// No endpoint has capacity for the request soon enough.
    NoRoom = 2006, "no_room", 503;
    /// Clients hold as much of this instance's memory as they may hold together.
    MemoryFull = 2007, "memory_full", 503;
    /// No endpoint in service offers the requested model or operation.
    NoEndpoint = 3001, "no_endpoint", 503;
    /// The endpoint failed before it started the work.
    EndpointFailed = 3002, "endpoint_failed", 502;
    /// The stream broke and its generation can't be resumed.
    StreamLost = 3003, "stream_lost", 502;
    /// The request crashed endpoints and all instances refuse it.
    CrashSuspect = 3004, "crash_suspect", 422;
    /// The call was sent, but its response was lost.
    OutcomeUnknown = 3005, "outcome_unknown", 502;
    /// The endpoint refused the call.
    EndpointRefused = 3006, "endpoint_refused", 502;
    /// The generation named by the event id no longer exists.
    GenerationGone = 3007, "generation_gone", 410;
    /// The call ran, but its response was too large to be stored for a retry.
    AnswerNotKept = 3008, "answer_not_kept", 502;
    /// Endpoints repeatedly died while running the request; it is held back for a while.
    CrashHeld = 3009, "crash_held", 503;
    /// This instance can't connect to the service's endpoints, and no peer could serve the request.
    CutOff = 3010, "cut_off", 503;
    /// The version that began the stream is unknown or no longer serves; the client may begin again.
    StreamEnded = 3011, "stream_ended", 503;
    /// The platform was unreachable, so the call was not started.
    PlatformDown = 4001, "platform_down", 503;
    /// This instance is shutting down; use another instance.
    Leaving = 4002, "leaving", 503;
    /// This instance has no configuration yet.
    NotReady = 4003, "not_ready", 503;
    /// This instance is cut off from the platform and every peer.
    Fenced = 4004, "fenced", 503;
    /// Another attempt with the same key is running.
    InProgress = 4005, "in_progress", 409;
    /// This instance has not confirmed recently that its state is still current.
    Outdated = 4006, "outdated", 503;
    /// The operator token is missing or wrong.
    BadToken = 5001, "bad_token", 401;
    /// Another change was accepted first.
    Conflict = 5002, "conflict", 409;
    /// The resulting configuration is not valid.
    BadChange = 5003, "bad_change", 400;
    /// The change was accepted but is not yet in force everywhere.
    NotInForce = 5004, "not_in_force", 504;
    /// A change lacks its author or its reason.
    WhoWhyMissing = 5005, "who_why_missing", 400;
    /// It could not be determined whether the change was accepted.
    ChangeUnknown = 5006, "change_unknown", 503;
    /// A preset's text is not JSON, has an unknown key, or a value of the wrong kind.
    PresetUnreadable = 5007, "preset_unreadable", 400;
    /// A number in a preset is outside its range.
    PresetRange = 5008, "preset_range", 400;
    /// A required part of a preset is missing.
    PresetPartMissing = 5009, "preset_part_missing", 400;
    /// A preset's weights are negative, not finite, or all 0.
    PresetWeights = 5010, "preset_weights", 400;
    /// A change names an unknown preset, failure domain or endpoint.
    UnknownName = 5011, "unknown_name", 404;
    /// A change would leave no failure domain in service.
    LastDomain = 5012, "last_domain", 409;
    /// None of the queried instances has a record of the request.
    RequestUnknown = 5013, "request_unknown", 404;
    /// A rollout order lacks its service or version, or its service differs from its object's.
    BadRollout = 5014, "bad_rollout", 400;
    /// A flag or environment variable is unknown.
    UnknownSetting = 6001, "unknown_setting", 400;
    /// A setting without a default is missing.
    SettingMissing = 6002, "setting_missing", 400;
    /// A setting can't be parsed as its type.
    BadSetting = 6003, "bad_setting", 400;
    /// A setting is outside its range.
    SettingRange = 6004, "setting_range", 400;
    /// Two settings contradict each other.
    SettingsClash = 6005, "settings_clash", 400;
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code.number()
    }
}

impl TryFrom<u16> for Code {
    type Error = String;

    fn try_from(number: u16) -> Result<Self, String> {
        Self::ALL
            .iter()
            .copied()
            .find(|c| c.number() == number)
            .ok_or_else(|| format!("no result code {number}"))
    }
}
