//! Settings of an instance.

mod conflicts;

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::settings::{
    SettingError, SettingKind, SettingSpec, SettingValues, VARIABLE_PREFIX,
};

const MS: &str = "ms";

const SPECS: &[SettingSpec] = &[
    SettingSpec::new("instance", SettingKind::Name, "name of this instance"),
    SettingSpec::new("domain", SettingKind::Name, "failure domain of this instance"),
    SettingSpec::new("platform", SettingKind::Address, "address of the platform's object API"),
    SettingSpec::new("caller-address", SettingKind::Address, "where callers connect")
        .with_default("127.0.0.1:0"),
    SettingSpec::new("peer-address", SettingKind::Address, "where peers connect")
        .with_default("127.0.0.1:0"),
    SettingSpec::new("admin-address", SettingKind::Address, "metrics, health and operators")
        .with_default("127.0.0.1:0"),
    SettingSpec::new("peer-key", SettingKind::Secret, "key that authenticates peers and event ids"),
    SettingSpec::new("operator-token", SettingKind::Secret, "token that operators' orders carry"),
    SettingSpec::new("entry-keep", range(MS, 0, 600_000), "how long callers keep an entry")
        .with_default("5000"),
    SettingSpec::new(
        "drain",
        range(MS, 0, 3_600_000),
        "most time that streams get to finish at a stop",
    )
    .with_default("60000"),
    SettingSpec::new("beacon", range(MS, 50, 10_000), "time between heartbeats to peers")
        .with_default("500"),
    SettingSpec::new(
        "silence",
        range(MS, 100, 60_000),
        "silence after which a peer counts as gone",
    )
    .with_default("2000"),
    SettingSpec::new(
        "fence",
        range(MS, 500, 60_000),
        "silence of all sides after which work is refused",
    )
    .with_default("3000"),
    SettingSpec::new(
        "lease",
        range(MS, 200, 60_000),
        "how long a confirmed right to an endpoint counts",
    )
    .with_default("2000"),
    SettingSpec::new(
        "refresh",
        range(MS, 50, 60_000),
        "time between looks at the list of endpoints",
    )
    .with_default("1000"),
    SettingSpec::new("poll", range(MS, 20, 10_000), "time between load reports of an engine")
        .with_default("200"),
    SettingSpec::new("connect", range(MS, 10, 10_000), "most time to connect to an endpoint")
        .with_default("500"),
    SettingSpec::new(
        "stall",
        range(MS, 100, 600_000),
        "most time between tokens before a stream is resumed",
    )
    .with_default("5000"),
    SettingSpec::new(
        "platform-wait",
        range(MS, 50, 60_000),
        "most time for an answer of the platform",
    )
    .with_default("2000"),
    SettingSpec::new("connections", range("1", 1, 1_000_000), "most connections of callers")
        .with_default("4096"),
    SettingSpec::new("memory", range("MB", 16, 1 << 20), "memory that the process may use")
        .with_default("256"),
    SettingSpec::new("body", range("bytes", 1_024, 64 << 20), "largest body of a caller")
        .with_default("1048576"),
    SettingSpec::new(
        "header-wait",
        range(MS, 100, 600_000),
        "most time for a head, a body, and idle",
    )
    .with_default("15000"),
    SettingSpec::new(
        "write-wait",
        range(MS, 100, 600_000),
        "most time in which a caller reads nothing",
    )
    .with_default("15000"),
    SettingSpec::new("workers", range("1", 1, 256), "worker threads").with_default("2"),
    SettingSpec::new(
        "seeds",
        SettingKind::Text,
        "admin addresses of instances to ask while the platform is down",
    )
    .with_default(""),
    SettingSpec::new("log", SettingKind::Text, "log level, as in info or warn,nutmeggrade=debug")
        .with_default("info"),
];

/// Environment variables of the operators' command, which may run in the same environment.
const OPERATOR_VARIABLES: &[&str] =
    &["WHO", "WHY", "WAIT", "ADMIN", "CONFIRM", "DRY_RUN", "JSON", "ROUNDS"];

/// Returns an error for each unknown variable with the program's prefix.
///
/// A mistyped variable would silently leave its setting at the default, for example a long fence
/// that was meant to be short.
fn unknown_variables() -> Vec<SettingError> {
    let is_known = |name: &str| {
        let matches_spec = |s: &SettingSpec| {
            let variable = s.variable();
            name == variable
                || (s.kind == SettingKind::Secret && name == format!("{variable}_FILE"))
        };
        let unprefixed = name.trim_start_matches(VARIABLE_PREFIX);
        OPERATOR_VARIABLES.contains(&unprefixed) || SPECS.iter().any(matches_spec)
    };
    let names = std::env::vars_os().filter_map(|(name, _)| name.into_string().ok());
    let prefixed = names.filter(|n| n.starts_with(VARIABLE_PREFIX) && !is_known(n));
    let to_error = |n| SettingError {
        code: Code::UnknownSetting,
        detail: format!("{n} is not a variable of this program"),
    };
    prefixed.map(to_error).collect()
}

const fn range(unit: &'static str, min: u64, max: u64) -> SettingKind {
    SettingKind::Number { unit, min, max }
}

/// Validated settings of an instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Failure domain of this instance.
    pub domain: DomainId,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Listening address for callers.
    pub caller_address: SocketAddr,
    /// Listening address for peers.
    pub peer_address: SocketAddr,
    /// Listening address for probes and operators.
    pub admin_address: SocketAddr,
    /// Key that authenticates peers and event ids.
    pub peer_key: Secret,
    /// Token that authenticates operators.
    pub operator_token: Secret,
    /// Time for which callers may cache an entry.
    pub entry_ttl: Duration,
    /// Maximum time for streams to finish during a planned stop.
    pub drain: Duration,
    /// Interval between heartbeats.
    pub beacon: Duration,
    /// Time without heartbeats after which a peer counts as gone.
    pub silence: Duration,
    /// Time without contact to the platform or a quorum of peers after which work is refused.
    pub fence: Duration,
    /// Validity of a confirmed right to an endpoint.
    pub lease: Duration,
    /// Interval between reads of the list of endpoints.
    pub refresh: Duration,
    /// Interval between load reports.
    pub poll: Duration,
    /// Timeout for a connection to an endpoint.
    pub connect: Duration,
    /// Maximum time between tokens before a stream is resumed.
    pub stall: Duration,
    /// Timeout for a response of the platform.
    pub platform_wait: Duration,
    /// Maximum number of connections of callers.
    pub connections: usize,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// Maximum size of a request body, in bytes.
    pub body: u64,
    /// Timeout for a request's head, its body, and an idle connection.
    pub header_wait: Duration,
    /// Maximum time in which a caller reads no byte of its response.
    pub write_wait: Duration,
    /// Number of worker threads.
    pub workers: usize,
    /// Admin addresses of instances to contact while the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// Log filter.
    pub log: String,
    values: SettingValues,
}

impl Settings {
    /// Reads flags and environment variables; returns all errors at once.
    pub fn load(args: &[String]) -> Result<Self, Vec<SettingError>> {
        let variable = |name: &str| std::env::var(name).ok();
        let file = |path: &str| std::fs::read_to_string(path).map_err(|e| e.to_string());
        let unknown = unknown_variables();
        let values = match SettingValues::load(SPECS, args, variable, file) {
            Ok(values) if unknown.is_empty() => values,
            Ok(_) => return Err(unknown),
            Err(errors) => return Err([errors, unknown].concat()),
        };
        let settings = Self::new(values)
            .map_err(|e| vec![SettingError { code: Code::BadSetting, detail: format!("{e:#}") }])?;
        let errors = settings.conflicts();
        if errors.is_empty() { Ok(settings) } else { Err(errors) }
    }

    /// Returns the maximum size of a request body, in bytes.
    pub fn max_body(&self) -> usize {
        usize::try_from(self.body).unwrap_or(usize::MAX)
    }

    /// Returns the help text with every setting.
    pub fn usage(summary: &str) -> String {
        let secrets = SPECS.iter().filter(|s| s.kind == SettingKind::Secret);
        let secrets: Vec<String> = secrets.map(|s| format!("    {}", s.describe())).collect();
        let flags = SettingValues::options(SPECS).usage(summary);
        format!("{flags}\nSecrets:\n{}", secrets.join("\n"))
    }

    /// Returns the settings in force with their origin, secrets masked.
    pub fn lines(&self) -> Vec<String> {
        self.values.lines()
    }

    fn new(values: SettingValues) -> anyhow::Result<Self> {
        let address = |flag| values.address(flag).with_context(|| format!("--{flag}"));
        let size = |flag| usize::try_from(values.number(flag)).context("size");
        Ok(Self {
            instance: InstanceId::new(values.text("instance")).context("--instance")?,
            domain: DomainId::new(values.text("domain")).context("--domain")?,
            platform: address("platform")?,
            caller_address: address("caller-address")?,
            peer_address: address("peer-address")?,
            admin_address: address("admin-address")?,
            peer_key: values.secret("peer-key"),
            operator_token: values.secret("operator-token"),
            entry_ttl: values.millis("entry-keep"),
            drain: values.millis("drain"),
            beacon: values.millis("beacon"),
            silence: values.millis("silence"),
            fence: values.millis("fence"),
            lease: values.millis("lease"),
            refresh: values.millis("refresh"),
            poll: values.millis("poll"),
            connect: values.millis("connect"),
            stall: values.millis("stall"),
            platform_wait: values.millis("platform-wait"),
            connections: size("connections")?,
            memory: usize::try_from(values.number("memory") << 20).context("--memory")?,
            body: values.number("body"),
            header_wait: values.millis("header-wait"),
            write_wait: values.millis("write-wait"),
            workers: size("workers")?,
            seeds: seeds(values.text("seeds"))?,
            log: values.text("log").to_owned(),
            values,
        })
    }
}

fn seeds(text: &str) -> anyhow::Result<Vec<SocketAddr>> {
    let parts = text.split(',').map(str::trim).filter(|s| !s.is_empty());
    let parse = |s: &str| s.parse().with_context(|| format!("--seeds: {s:?} is not ip:port"));
    parts.map(parse).collect()
}
