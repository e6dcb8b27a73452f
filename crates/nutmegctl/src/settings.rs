//! Settings of `nutmegctl`.

use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::settings::{SettingError, SettingKind, SettingSpec, SettingValues};

const SPECS: &[SettingSpec] = &[
    SettingSpec::new("platform", SettingKind::Address, "address of the platform's object API"),
    SettingSpec::new("operator-token", SettingKind::Secret, "token of the operators' requests"),
    SettingSpec::new("who", SettingKind::Text, "who makes the change").with_default(""),
    SettingSpec::new("why", SettingKind::Text, "why the change is made").with_default(""),
    SettingSpec::new(
        "wait",
        SettingKind::Number { unit: "ms", min: 0, max: 600_000 },
        "timeout for a change to be in force everywhere",
    )
    .with_default("10000"),
    SettingSpec::new(
        "admin",
        SettingKind::Addresses,
        "instances to query while the platform is down",
    )
    .with_default(""),
    SettingSpec::new(
        "confirm",
        SettingKind::Number { unit: "code", min: 0, max: 9_999 },
        "overrides a refusal with this code (5011 or 5012)",
    )
    .with_default("0"),
    SettingSpec::new("dry-run", SettingKind::Switch, "validates a change and writes nothing")
        .with_default("false"),
    SettingSpec::new("json", SettingKind::Switch, "prints one JSON object a line")
        .with_default("false"),
    SettingSpec::new(
        "logs",
        SettingKind::Text,
        "log files to explain a request from, separated by commas; -: standard input",
    )
    .with_default(""),
    SettingSpec::new(
        "rounds",
        SettingKind::Number { unit: "1", min: 0, max: 1_000_000 },
        "rounds of watch, 0: no limit",
    )
    .with_default("0"),
];

/// Settings of `nutmegctl`, from flags and environment variables.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of the platform's object API; optional with `logs`.
    pub platform: Option<SocketAddr>,
    /// Token that authenticates the operator to instances.
    pub token: Secret,
    /// Who makes the change.
    pub who: String,
    /// Why the change is made.
    pub why: String,
    /// Timeout for a change to be in force everywhere.
    pub wait: Duration,
    /// Admin addresses of instances to query while the platform is down.
    pub admin: Vec<SocketAddr>,
    /// Code of the refusal that the operator overrides; 0 for none.
    pub confirm: u64,
    /// Log files to explain a request from, separated by commas; if empty, instances are queried.
    pub logs: String,
    /// Whether a change is only validated and not written.
    pub dry_run: bool,
    /// Whether output lines are JSON objects.
    pub json: bool,
    /// Number of times that `watch` shows the status; 0 for no limit.
    pub rounds: u64,
}

impl Settings {
    /// Loads the settings and returns all errors together. With `needs_no_platform`, the platform's
    /// address and the operator token are optional.
    pub fn load(args: &[String], needs_no_platform: bool) -> Result<Self, Vec<SettingError>> {
        let variable = |name: &str| std::env::var(name).ok();
        let file = |path: &str| std::fs::read_to_string(path).map_err(|e| e.to_string());
        // Reading logs requires neither the platform nor the operator token.
        let has_logs = |v: &SettingValues| !v.text("logs").is_empty();
        let optional = SPECS.iter().map(|s| s.with_optional(s.default.is_none()));
        let lenient = SettingValues::load(&optional.collect::<Vec<_>>(), args, variable, file);
        let values = match lenient {
            Ok(values) if needs_no_platform || has_logs(&values) => values,
            _ => SettingValues::load(SPECS, args, variable, file)?,
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

    /// Returns the help text with all settings.
    pub fn usage(brief: &str) -> String {
        let secrets = SPECS.iter().filter(|s| s.kind == SettingKind::Secret);
        let secrets: Vec<String> = secrets.map(|s| format!("    {}", s.describe())).collect();
        let flags = SettingValues::options(SPECS).usage(brief);
        format!("{flags}\nSecrets:\n{}", secrets.join("\n"))
    }
}
