//! The settings of an instance.

mod clashes;

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::settings::{Kind, SettingError, Spec, VARIABLE_PREFIX, Values};

const MS: &str = "ms";

const SPECS: &[Spec] = &[
    Spec::new("instance", Kind::Name, "name of this instance"),
    Spec::new("domain", Kind::Name, "failure domain of this instance"),
    Spec::new("platform", Kind::Address, "address of the platform's object API"),
    Spec::new("caller-address", Kind::Address, "where callers connect").with_default("127.0.0.1:0"),
    Spec::new("peer-address", Kind::Address, "where peers connect").with_default("127.0.0.1:0"),
    Spec::new("admin-address", Kind::Address, "metrics, health and operators")
        .with_default("127.0.0.1:0"),
    Spec::new("peer-key", Kind::Secret, "key that authenticates peers and event ids"),
    Spec::new("operator-token", Kind::Secret, "token that operators' orders carry"),
    Spec::new("entry-keep", range(MS, 0, 600_000), "how long callers keep an entry")
        .with_default("5000"),
    Spec::new("drain", range(MS, 0, 3_600_000), "most time that streams get to finish at a stop")
        .with_default("60000"),
    Spec::new("beacon", range(MS, 50, 10_000), "time between heartbeats to peers")
        .with_default("500"),
    Spec::new("silence", range(MS, 100, 60_000), "silence after which a peer counts as gone")
        .with_default("2000"),
    Spec::new("fence", range(MS, 500, 60_000), "silence of all sides after which work is refused")
        .with_default("3000"),
    Spec::new("lease", range(MS, 200, 60_000), "how long a confirmed right to an endpoint counts")
        .with_default("2000"),
    Spec::new("refresh", range(MS, 50, 60_000), "time between looks at the list of endpoints")
        .with_default("1000"),
    Spec::new("poll", range(MS, 20, 10_000), "time between load reports of an engine")
        .with_default("200"),
    Spec::new("connect", range(MS, 10, 10_000), "most time to connect to an endpoint")
        .with_default("500"),
    Spec::new(
        "stall",
        range(MS, 100, 600_000),
        "most time between tokens before a stream is resumed",
    )
    .with_default("5000"),
    Spec::new("platform-wait", range(MS, 50, 60_000), "most time for an answer of the platform")
        .with_default("2000"),
    Spec::new("connections", range("1", 1, 1_000_000), "most connections of callers")
        .with_default("4096"),
    Spec::new("body", range("bytes", 1_024, 64 << 20), "largest body of a caller")
        .with_default("1048576"),
    Spec::new("header-wait", range(MS, 100, 600_000), "most time for a head, a body, and idle")
        .with_default("15000"),
    Spec::new("write-wait", range(MS, 100, 600_000), "most time in which a caller reads nothing")
        .with_default("15000"),
    Spec::new("workers", range("1", 1, 256), "worker threads").with_default("2"),
    Spec::new(
        "seeds",
        Kind::Text,
        "admin addresses of instances to ask while the platform is down",
    )
    .with_default(""),
    Spec::new("log", Kind::Text, "log level, as in info or warn,nutmeggrade=debug")
        .with_default("info"),
];

/// Variables of the operators' command, which may run in the same environment.
const OPERATOR_VARIABLES: &[&str] =
    &["WHO", "WHY", "WAIT", "ADMIN", "CONFIRM", "DRY_RUN", "JSON", "ROUNDS"];

/// Lists variables with the program's prefix that it does not know.
///
/// A mistyped variable would leave its setting at the default without a word; one would notice it
/// when the fence that was meant to be short turns out to be long.
fn unknown_variables() -> Vec<SettingError> {
    let known = |name: &str| {
        let of_spec = |s: &Spec| {
            let variable = s.variable();
            name == variable || (s.kind == Kind::Secret && name == format!("{variable}_FILE"))
        };
        let bare = name.trim_start_matches(VARIABLE_PREFIX);
        OPERATOR_VARIABLES.contains(&bare) || SPECS.iter().any(of_spec)
    };
    let names = std::env::vars_os().filter_map(|(name, _)| name.into_string().ok());
    let ours = names.filter(|n| n.starts_with(VARIABLE_PREFIX) && !known(n));
    let mistake = |n| SettingError {
        code: Code::UnknownSetting,
        detail: format!("{n} is not a variable of this program"),
    };
    ours.map(mistake).collect()
}

const fn range(unit: &'static str, min: u64, max: u64) -> Kind {
    Kind::Number { unit, min, max }
}

/// The settings of an instance, checked as a whole.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Where probes and operators connect.
    pub admin_address: SocketAddr,
    /// Authenticates peers and event ids.
    pub peer_key: Secret,
    /// Authenticates operators.
    pub operator_token: Secret,
    /// How long callers keep an entry.
    pub entry_keep: Duration,
    /// Most time that streams get to finish at a stop.
    pub drain: Duration,
    /// Time between heartbeats.
    pub beacon: Duration,
    /// Silence after which a peer counts as gone.
    pub silence: Duration,
    /// Silence of all sides after which work is refused.
    pub fence: Duration,
    /// How long a confirmed right to an endpoint counts.
    pub lease: Duration,
    /// Time between looks at the list of endpoints.
    pub refresh: Duration,
    /// Time between load reports.
    pub poll: Duration,
    /// Most time to connect to an endpoint.
    pub connect: Duration,
    /// Most time between tokens before a stream is resumed.
    pub stall: Duration,
    /// Most time for an answer of the platform.
    pub platform_wait: Duration,
    /// Most connections of callers.
    pub connections: usize,
    /// Largest body of a caller, in bytes.
    pub body: u64,
    /// Most time for a request's head.
    pub header_wait: Duration,
    /// Most time in which a caller takes no byte of its answer.
    pub write_wait: Duration,
    /// Worker threads.
    pub workers: usize,
    /// Admin addresses of instances to ask while the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// Log filter.
    pub log: String,
    values: Values,
}

impl Settings {
    /// Reads flags and environment variables; lists every mistake at once.
    pub fn load(args: &[String]) -> Result<Self, Vec<SettingError>> {
        let variable = |name: &str| std::env::var(name).ok();
        let file = |path: &str| std::fs::read_to_string(path).map_err(|e| e.to_string());
        let unknown = unknown_variables();
        let values = match Values::load(SPECS, args, variable, file) {
            Ok(values) if unknown.is_empty() => values,
            Ok(_) => return Err(unknown),
            Err(mistakes) => return Err([mistakes, unknown].concat()),
        };
        let settings = Self::new(values)
            .map_err(|e| vec![SettingError { code: Code::BadSetting, detail: format!("{e:#}") }])?;
        let mistakes = settings.clashes();
        if mistakes.is_empty() { Ok(settings) } else { Err(mistakes) }
    }

    /// Returns the help text with every setting.
    pub fn usage(brief: &str) -> String {
        let secrets = SPECS.iter().filter(|s| s.kind == Kind::Secret);
        let secrets: Vec<String> = secrets.map(|s| format!("    {}", s.describe())).collect();
        let flags = Values::options(SPECS).usage(brief);
        format!("{flags}\nSecrets:\n{}", secrets.join("\n"))
    }

    /// Lists the settings in force with their origin, secrets hidden.
    pub fn lines(&self) -> Vec<String> {
        self.values.lines()
    }

    fn new(values: Values) -> anyhow::Result<Self> {
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
            entry_keep: values.millis("entry-keep"),
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
