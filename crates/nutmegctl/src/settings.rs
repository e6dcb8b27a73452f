//! The settings of the operators' command.

use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::settings::{Kind, SettingError, Spec, Values};

const SPECS: &[Spec] = &[
    Spec::new("platform", Kind::Address, "address of the platform's object API"),
    Spec::new("operator-token", Kind::Secret, "token that operators' orders carry"),
    Spec::new("who", Kind::Text, "who makes the change").with_default(""),
    Spec::new("why", Kind::Text, "why the change is made").with_default(""),
    Spec::new(
        "wait",
        Kind::Number { unit: "ms", min: 0, max: 600_000 },
        "most time until a change must be in force everywhere",
    )
    .with_default("10000"),
    Spec::new("admin", Kind::Addresses, "instances to ask while the platform is down")
        .with_default(""),
    Spec::new(
        "confirm",
        Kind::Number { unit: "code", min: 0, max: 9_999 },
        "does what was refused with this code (5011 or 5012)",
    )
    .with_default("0"),
    Spec::new("dry-run", Kind::Switch, "checks a change and writes nothing").with_default("false"),
    Spec::new("json", Kind::Switch, "prints one JSON object a line").with_default("false"),
    Spec::new(
        "logs",
        Kind::Text,
        "log files to explain a request from, with commas; -: standard input",
    )
    .with_default(""),
    Spec::new(
        "rounds",
        Kind::Number { unit: "1", min: 0, max: 1_000_000 },
        "looks of watch, 0: no end",
    )
    .with_default("0"),
];

/// The settings of the operators' command.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The platform's object API; not needed to read logs.
    pub platform: Option<SocketAddr>,
    /// Authenticates the operator to the instances.
    pub token: Secret,
    /// Who makes the change.
    pub who: String,
    /// Why.
    pub why: String,
    /// Most time until a change must be in force everywhere.
    pub wait: Duration,
    /// Instances to ask while the platform is down.
    pub admin: Vec<SocketAddr>,
    /// Number of the refusal that the operator overrides.
    pub confirm: u64,
    /// Log files to explain a request from, separated by commas; empty to ask the instances.
    pub logs: String,
    /// Whether nothing is written.
    pub dry_run: bool,
    /// Whether output is JSON.
    pub json: bool,
    /// How often `watch` looks; 0 for without end.
    pub rounds: u64,
}

impl Settings {
    /// Reads flags and environment variables; lists every mistake at once. `is_offline` says that neither the
    /// platform nor the operators' token is needed.
    pub fn load(args: &[String], is_offline: bool) -> Result<Self, Vec<SettingError>> {
        let variable = |name: &str| std::env::var(name).ok();
        let file = |path: &str| std::fs::read_to_string(path).map_err(|e| e.to_string());
        // Whoever has logs needs neither the platform nor the operators' token to read them.
        let reads_logs = |v: &Values| !v.text("logs").is_empty();
        let offline = SPECS.iter().map(|s| s.with_optional(s.default.is_none()));
        let offline = Values::load(&offline.collect::<Vec<_>>(), args, variable, file);
        let values = match offline {
            Ok(values) if is_offline || reads_logs(&values) => values,
            _ => Values::load(SPECS, args, variable, file)?,
        };
        Ok(Self {
            platform: values.address("platform"),
            token: values.secret("operator-token"),
            who: values.text("who").to_owned(),
            why: values.text("why").to_owned(),
            wait: values.millis("wait"),
            admin: values.addresses("admin"),
            confirm: values.number("confirm"),
            logs: values.text("logs").to_owned(),
            dry_run: values.switch("dry-run"),
            json: values.switch("json"),
            rounds: values.number("rounds"),
        })
    }

    /// Returns the help text with every setting.
    pub fn usage(brief: &str) -> String {
        let secrets = SPECS.iter().filter(|s| s.kind == Kind::Secret);
        let secrets: Vec<String> = secrets.map(|s| format!("    {}", s.describe())).collect();
        let flags = Values::options(SPECS).usage(brief);
        format!("{flags}\nSecrets:\n{}", secrets.join("\n"))
    }
}
