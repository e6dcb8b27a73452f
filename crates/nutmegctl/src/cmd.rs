//! Subcommands.

mod audit;
mod domain;
mod endpoint;
mod explain;
mod help;
mod order;
mod preset;
mod rollout;
mod status;
mod watch;

use nutmeggrade_core::prelude::*;

use crate::settings::Settings;

pub use help::{help, is_command};

/// Returns whether a subcommand queries only instances, so that it needs no platform and no token.
pub fn needs_only_instances(words: &[String]) -> bool {
    words.first().is_some_and(|word| word == "rollout")
}

/// Runs the subcommand given by the command words.
pub async fn run(settings: &Settings, words: &[&str]) -> anyhow::Result<()> {
    match words {
        ["preset", "list"] => preset::list(settings).await,
        ["preset", "show", name] => preset::show(settings, name).await,
        ["preset", "put", name, file] => preset::put(settings, name, file).await,
        ["preset", "use", name] => preset::activate(settings, name).await,
        ["domain", "out", name] => domain::take_out(settings, name).await,
        ["domain", "in", name] => domain::bring_in(settings, name).await,
        ["endpoint", "out", name] => endpoint::take_out(settings, name).await,
        ["endpoint", "in", name] => endpoint::bring_in(settings, name).await,
        ["order", "show", endpoint] => order::show(settings, endpoint).await,
        ["order", "load", endpoint, load] => order::load(settings, endpoint, load).await,
        ["order", "unload", endpoint, load] => order::unload(settings, endpoint, load).await,
        ["order", "role", endpoint, role] => order::role(settings, endpoint, role).await,
        ["rollout", "list"] => rollout::list(settings).await,
        ["status"] => status::show(settings).await,
        ["watch"] => watch::run(settings).await,
        ["explain", request] => explain::show(settings, request).await,
        ["audit"] => audit::show(settings).await,
        _ => {
            let detail = format!("unknown command {:?}; see nutmegctl --help", words.join(" "));
            Err(Failure::new(Code::UnknownSetting, &detail).into())
        }
    }
}
