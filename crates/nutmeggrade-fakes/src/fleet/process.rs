//! One child process of the demo or a test.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use anyhow::Context;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// One child process; killed by its pid when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// What the process is called in logs.
    pub name: String,
}

impl Process {
    /// Starts a program and waits for its line `listening …`, which is returned without the word.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[String],
        variables: &[(&str, &str)],
    ) -> anyhow::Result<(Self, String)> {
        let log = File::create(logs()?.join(format!("{name}.log"))).context("create log")?;
        let mut command = command(program, args, variables);
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

    /// Starts a program that adds everything it prints to a log file.
    pub fn start_logged(
        name: &str,
        program: &Path,
        args: &[String],
        variables: &[(&str, &str)],
        log: &Path,
    ) -> anyhow::Result<Self> {
        let log = File::options().create(true).append(true).open(log).context("open log")?;
        let mut command = command(program, args, variables);
        command.stdout(log.try_clone().context("share log")?).stderr(log);
        let child = command.spawn().with_context(|| format!("start {}", program.display()))?;
        Ok(Self { child, name: name.to_owned() })
    }

    /// Returns the process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to this process alone.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = i32::try_from(self.child.id()).context("pid")?;
        kill(Pid::from_raw(pid), signal).with_context(|| format!("signal {}", self.name))
    }

    /// Kills the process at once.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        self.child.kill().context("kill")?;
        self.child.wait().context("wait")?;
        Ok(())
    }

    /// Returns how the process ended, if it has.
    pub fn ended(&mut self) -> anyhow::Result<Option<ExitStatus>> {
        self.child.try_wait().context("wait")
    }
}

fn command(program: &Path, args: &[String], variables: &[(&str, &str)]) -> Command {
    let mut command = Command::new(program);
    command.args(args).envs(variables.iter().copied()).stdin(Stdio::null());
    command
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that already ended is what the drop wants.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Returns the folder of the built programs, next to or above the running one's.
pub fn programs() -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe().context("own path")?;
    let folder = own.parent().context("own folder")?;
    let inner = folder.ends_with("examples") || folder.ends_with("deps");
    let folder = if inner { folder.parent().context("build folder")? } else { folder };
    Ok(folder.to_owned())
}

/// Returns the folder for logs of the running process's children.
pub fn logs() -> anyhow::Result<PathBuf> {
    let folder = programs()?.join("fleet-logs").join(std::process::id().to_string());
    std::fs::create_dir_all(&folder).context("create log folder")?;
    Ok(folder)
}
