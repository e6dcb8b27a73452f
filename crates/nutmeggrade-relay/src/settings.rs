//! Settings of an instance that serves requests.

mod file;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::settings::{SettingError, SettingKind, SettingSpec, SettingValues};
use nutmeggrade_policy::fleet::ResendLimits;
use nutmeggrade_policy::rollout::ExposureBound;

use file::SettingsFile;

const SECONDS: &str = "s";
const UNITLESS: &str = "1";
const BYTES_PER_MEGABIT: f64 = 125_000.0;

const SPECS: &[SettingSpec] = &[
    SettingSpec::new("instance", SettingKind::Name, "name of this instance"),
    SettingSpec::new("domain", SettingKind::Name, "failure domain of this instance"),
    SettingSpec::new("platform", SettingKind::Address, "address of the platform's store"),
    SettingSpec::new("client-address", SettingKind::Address, "where clients connect"),
    SettingSpec::new(
        "ready-address",
        SettingKind::Address,
        "where the platform asks for readiness",
    ),
    SettingSpec::new("directory-address", SettingKind::Address, "where clients ask for instances"),
    SettingSpec::new(
        "control-address",
        SettingKind::Address,
        "where peers ask for what they can't read",
    ),
    SettingSpec::new(
        "beacon-address",
        SettingKind::Address,
        "where peers' heartbeats come in, by UDP, and the requests that they forward, by TCP",
    ),
    SettingSpec::new("metrics-address", SettingKind::Address, "where metrics are served"),
    SettingSpec::new(
        "seeds",
        SettingKind::Addresses,
        "control addresses of instances to begin with",
    )
    .with_default(""),
    SettingSpec::new(
        "descriptors",
        whole(64, 1_048_576),
        "file descriptors that the process may use",
    )
    .with_default("1024"),
    SettingSpec::new(
        "memory",
        SettingKind::Number { unit: "MB", min: 16, max: 1_048_576 },
        "memory that the process may use",
    )
    .with_default("256"),
    SettingSpec::new("link", decimal("Mbit/s", 1, 1_000_000), "rate of this instance's link")
        .with_default("20"),
    SettingSpec::new(
        "grace",
        decimal(SECONDS, 1, 3_600),
        "time from SIGTERM until the process is killed",
    )
    .with_default("8"),
    SettingSpec::new(
        "entry-keep",
        decimal(SECONDS, 1, 600),
        "longest that clients keep an instance's address",
    )
    .with_default("5"),
    SettingSpec::new(
        "resend-ratio",
        decimal(UNITLESS, 0, 100),
        "second sends allowed for each request",
    )
    .with_default("0.1"),
    SettingSpec::new(
        "resend-window",
        decimal(SECONDS, 1, 3_600),
        "time over which second sends are counted",
    )
    .with_default("10"),
    SettingSpec::new(
        "resend-extra",
        decimal(UNITLESS, 0, 1_000_000),
        "further second sends in each window",
    )
    .with_default("10"),
    SettingSpec::new(
        "cold-overrun",
        decimal(UNITLESS, 0, 100),
        "how far a cold endpoint's rate may be exceeded",
    )
    .with_default("1"),
    SettingSpec::new(
        "cold-tolerance",
        decimal(UNITLESS, 0, 1_000),
        "requests beyond a cold endpoint's rate",
    )
    .with_default("0"),
    SettingSpec::new(
        "exposure-share",
        decimal(UNITLESS, 0, 1),
        "part of a service's requests that a bad version may get; 0 follows no roll-outs",
    )
    .with_default("0"),
    SettingSpec::new(
        "exposure-tolerance",
        decimal(UNITLESS, 0, 1_000_000),
        "requests that a bad version may get beyond that part",
    )
    .with_default("0"),
    SettingSpec::new(
        "fleet-order",
        SettingKind::Switch,
        "orders waiting requests across all instances; all of a fleet need the same value",
    )
    .with_default("false"),
    SettingSpec::new(
        "leases",
        SettingKind::Switch,
        "takes leases on the capacity of engines under pressure before requests are sent",
    )
    .with_default("false"),
    SettingSpec::new(
        "log",
        SettingKind::Text,
        "log level, as in info or warn,nutmeggrade_relay=debug",
    )
    .with_default("info"),
];

const fn whole(min: u64, max: u64) -> SettingKind {
    SettingKind::Number { unit: UNITLESS, min, max }
}

const fn decimal(unit: &'static str, min: u64, max: u64) -> SettingKind {
    SettingKind::Decimal { unit, min, max }
}

/// Validated settings of an instance that serves requests.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Failure domain of this instance.
    pub domain: DomainId,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Address for client requests.
    pub client_address: SocketAddr,
    /// Address of the readiness check.
    pub ready_address: SocketAddr,
    /// Address of the directory of instances.
    pub directory_address: SocketAddr,
    /// Address for peers' requests for what they can't read from the platform.
    pub control_address: SocketAddr,
    /// Address for peers' heartbeats, by UDP, and for requests that they forward, by TCP.
    pub beacon_address: SocketAddr,
    /// Address of the metrics.
    pub metrics_address: SocketAddr,
    /// Heartbeat addresses of some other instances, to join the fleet through.
    pub seeds: Vec<SocketAddr>,
    /// File descriptors that the process may use.
    pub descriptors: usize,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// Rate of the link, in bytes per second.
    pub link: f64,
    /// Time from SIGTERM until the process is killed.
    pub grace: Duration,
    /// Longest time for which clients cache an instance's address.
    pub entry_ttl: Duration,
    /// Budget for resends of all instances together.
    pub resends: ResendLimits,
    /// Factor by which a cold endpoint's rate is multiplied to get its limit.
    pub cold_overrun: f64,
    /// Requests per second added to that limit.
    pub cold_tolerance: f64,
    /// Limit of requests to a version that turns out bad; `None` where rollouts are not followed.
    pub exposure: Option<ExposureBound>,
    /// Whether waiting requests are ordered across all instances.
    pub fleet_order: bool,
    /// Whether leases on the capacity of engines are taken.
    pub leases: bool,
    /// Log filter.
    pub log: String,
    values: SettingValues,
}

impl Settings {
    /// Reads flags, the settings file and environment variables, and reports all errors together.
    ///
    /// A flag takes precedence over the file, and the file over a variable.
    ///
    /// # Errors
    ///
    /// Fails with each error, its code, and the line if it comes from the file.
    pub fn load(args: &[String], path: Option<&PathBuf>) -> Result<Self, Vec<SettingError>> {
        let file = match path {
            Some(path) => SettingsFile::load(path, SPECS)?,
            None => SettingsFile::default(),
        };
        let variable = |name: &str| file.get(name).or_else(|| std::env::var(name).ok());
        let secret = |path: &str| std::fs::read_to_string(path).map_err(|e| e.to_string());
        let values = SettingValues::load(SPECS, args, variable, secret).map_err(|errors| {
            errors.into_iter().map(|e| file.locate(e, SPECS)).collect::<Vec<_>>()
        })?;
        Self::new(values)
            .map_err(|e| vec![SettingError { code: Code::BadSetting, detail: format!("{e:#}") }])
    }

    /// Returns the help text with every setting.
    pub fn usage(brief: &str) -> String {
        SettingValues::options(SPECS).usage(brief)
    }

    /// Lists the settings in force with their origin.
    pub fn lines(&self) -> Vec<String> {
        self.values.lines()
    }

    fn new(values: SettingValues) -> anyhow::Result<Self> {
        let address = |flag| values.address(flag).with_context(|| format!("--{flag}"));
        let beacon_address = address("beacon-address")?;
        // Ports are the same on all instances of a deployment, so seeds only name the IP addresses.
        let heartbeat_address =
            |seed: SocketAddr| SocketAddr::new(seed.ip(), beacon_address.port());
        Ok(Self {
            instance: InstanceId::new(values.text("instance")).context("--instance")?,
            domain: DomainId::new(values.text("domain")).context("--domain")?,
            platform: address("platform")?,
            client_address: address("client-address")?,
            ready_address: address("ready-address")?,
            directory_address: address("directory-address")?,
            control_address: address("control-address")?,
            beacon_address,
            metrics_address: address("metrics-address")?,
            seeds: values.addresses("seeds").into_iter().map(heartbeat_address).collect(),
            descriptors: usize::try_from(values.number("descriptors")).context("--descriptors")?,
            memory: usize::try_from(values.number("memory") << 20).context("--memory")?,
            link: values.decimal("link") * BYTES_PER_MEGABIT,
            grace: values.seconds("grace"),
            entry_ttl: values.seconds("entry-keep"),
            resends: ResendLimits {
                ratio: values.decimal("resend-ratio"),
                extra: values.decimal("resend-extra"),
                window: values.seconds("resend-window"),
            },
            cold_overrun: values.decimal("cold-overrun"),
            cold_tolerance: values.decimal("cold-tolerance"),
            exposure: exposure(&values),
            fleet_order: values.switch("fleet-order"),
            leases: values.switch("leases"),
            log: values.text("log").to_owned(),
            values,
        })
    }
}

fn exposure(values: &SettingValues) -> Option<ExposureBound> {
    let share = values.decimal("exposure-share");
    let tolerance = values.decimal("exposure-tolerance");
    (share > 0.0).then_some(ExposureBound { share, tolerance })
}
