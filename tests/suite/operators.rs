//! Tests of operator commands, settings, logs and metrics.

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

/// Returns a command for a program of the workspace, with an empty environment.
fn program(name: &str) -> Command {
    let test_binary = std::env::current_exe().expect("path of the test binary");
    let folder: PathBuf = test_binary.ancestors().nth(2).expect("build folder").to_owned();
    let mut command = Command::new(folder.join(name));
    command.env_clear();
    command
}
