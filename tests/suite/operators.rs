//! What operators do and see.

mod audit;
mod changes;
mod explain;
mod explain_logs;
mod metrics;
mod orders;
mod presets;
mod refusals;
mod settings;

use std::path::PathBuf;
use std::process::Command;

/// Starts a program of the workspace with no variables of its own.
fn program(name: &str) -> Command {
    let own = std::env::current_exe().expect("own path");
    let folder: PathBuf = own.ancestors().nth(2).expect("build folder").to_owned();
    let mut command = Command::new(folder.join(name));
    command.env_clear();
    command
}
