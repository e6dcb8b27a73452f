//! The settings of the operators' command.

use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::settings::{Kind, Mistake, Spec, Values};

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
];

/// The settings of the operators' command.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The platform's object API.
    pub platform: SocketAddr,
    /// Authenticates the operator to the instances.
    pub token: Secret,
    /// Who makes the change.
    pub who: String,
    /// Why.
    pub why: String,
    /// Most time until a change must be in force everywhere.
    pub wait: Duration,
}

impl Settings {
    /// Reads flags and environment variables; lists every mistake at once.
    pub fn load(args: &[String]) -> Result<Self, Vec<Mistake>> {
        let variable = |name: &str| std::env::var(name).ok();
        let file = |path: &str| std::fs::read_to_string(path).map_err(|e| e.to_string());
        let values = Values::load(SPECS, args, variable, file)?;
        let missing = || {
            let detail = "--platform must be ip:port".to_owned();
            vec![Mistake { code: Code::BadSetting, detail }]
        };
        Ok(Self {
            platform: values.address("platform").ok_or_else(missing)?,
            token: values.secret("operator-token"),
            who: values.text("who").to_owned(),
            why: values.text("why").to_owned(),
            wait: values.millis("wait"),
        })
    }

    /// Returns the help text with every setting.
    pub fn usage(brief: &str) -> String {
        Values::options(SPECS).usage(brief)
    }
}
