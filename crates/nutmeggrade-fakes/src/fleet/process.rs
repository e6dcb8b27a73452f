//! A child process of the demo or a test.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use anyhow::Context;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// A child process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Name of the process in logs and errors.
    pub name: String,
}

impl Process {
    /// Starts a program, waits for its line `listening …` and returns the rest of that line.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[String],
        environment: &[(&str, &str)],
    ) -> anyhow::Result<(Self, String)> {
        let log = File::create(log_folder()?.join(format!("{name}.log"))).context("create log")?;
        let mut command = command(program, args, environment);
        command.stdout(Stdio::piped()).stderr(log);
        let mut child = command.spawn().with_context(|| format!("start {}", program.display()))?;
        let stdout = child.stdout.take().context("no stdout")?;
        let process = Self { child, name: name.to_owned() };
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).context("read first line")?;
        let listening = line.trim().strip_prefix("listening ");
        let listening = listening.with_context(|| format!("{name} did not start: {line:?}"))?;
        Ok((process, listening.to_owned()))
    }

    /// Starts a program and appends its standard output and error to a log file.
    pub fn start_logged(
        name: &str,
        program: &Path,
        args: &[String],
        environment: &[(&str, &str)],
        log: &Path,
    ) -> anyhow::Result<Self> {
        let log = File::options().create(true).append(true).open(log).context("open log")?;
        let mut command = command(program, args, environment);
        command.stdout(log.try_clone().context("share log")?).stderr(log);
        let child = command.spawn().with_context(|| format!("start {}", program.display()))?;
        Ok(Self { child, name: name.to_owned() })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process, not to its children.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = i32::try_from(self.child.id()).context("pid")?;
        kill(Pid::from_raw(pid), signal).with_context(|| format!("signal {}", self.name))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        self.child.kill().context("kill")?;
        self.child.wait().context("wait")?;
        Ok(())
    }

    /// Returns the exit status, if the process has ended.
    pub fn exit_status(&mut self) -> anyhow::Result<Option<ExitStatus>> {
        self.child.try_wait().context("wait")
    }
}

fn command(program: &Path, args: &[String], environment: &[(&str, &str)]) -> Command {
    let mut command = Command::new(program);
    command.args(args).envs(environment.iter().copied()).stdin(Stdio::null());
    command
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only if the process has already ended.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Returns the build folder of the programs: that of the running program, or its parent.
pub fn program_folder() -> anyhow::Result<PathBuf> {
    let executable = std::env::current_exe().context("path of the running program")?;
    let folder = executable.parent().context("folder of the running program")?;
    let is_nested = folder.ends_with("examples") || folder.ends_with("deps");
    let folder = if is_nested { folder.parent().context("build folder")? } else { folder };
    Ok(folder.to_owned())
}

/// Returns the folder for the logs of this process's children, and creates it.
pub fn log_folder() -> anyhow::Result<PathBuf> {
    let folder = program_folder()?.join("fleet-logs").join(std::process::id().to_string());
    std::fs::create_dir_all(&folder).context("create log folder")?;
    Ok(folder)
}
