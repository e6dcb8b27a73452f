//! Signals that arrive during the start of an instance.

use std::fmt::Write;
use std::path::PathBuf;

use nix::sys::signal::Signal;
use nix::sys::stat::Mode;
use nix::unistd::mkfifo;
use nutmeggrade_fakes::fleet::{Process, log_folder, program_folder};
use nutmeggrade_fakes::site::Store;
use tokio::time::{Duration, sleep};

use crate::support::{run, until};

/// A relay that blocks during its start, because its settings are read from a pipe without a
/// writer.
struct Starting {
    process: Process,
    pipe: PathBuf,
    log: PathBuf,
    settings: String,
}

impl Starting {
    async fn new(name: &str) -> anyhow::Result<Self> {
        let folder = log_folder()?;
        let (pipe, log) = (folder.join(format!("{name}.pipe")), folder.join(format!("{name}.log")));
        drop(std::fs::remove_file(&pipe));
        mkfifo(&pipe, Mode::S_IRWXU)?;
        let store_listener = Store::new().open_listener().await?;
        let mut settings = format!(
            "NUTMEGGRADE_INSTANCE=i-1\nNUTMEGGRADE_DOMAIN=veluwe\nNUTMEGGRADE_PLATFORM={}\n\
             NUTMEGGRADE_GRACE=1\n",
            store_listener.address
        );
        for listener in ["CLIENT", "READY", "DIRECTORY", "CONTROL", "BEACON", "METRICS"] {
            writeln!(settings, "NUTMEGGRADE_{listener}_ADDRESS=127.0.0.1:0")?;
        }
        let program = program_folder()?.join("nutmeggrade");
        let path = pipe.to_string_lossy().into_owned();
        let variables = [("NUTMEGGRADE_BOOT", path.as_str())];
        let process =
            Process::start_logged("early", &program, &["relay".to_owned()], &variables, &log)?;
        Ok(Self { process, pipe, log, settings })
    }

    /// Sends a signal while the process reads its settings, and then writes all settings.
    async fn signal(&mut self, signal: Signal) -> anyhow::Result<()> {
        let (pipe, settings) = (self.pipe.clone(), self.settings.clone());
        // Opening the pipe blocks until the process has opened it too.
        let writer =
            tokio::task::spawn_blocking(move || std::fs::File::options().write(true).open(pipe));
        let mut writer = writer.await??;
        // Later reads need a regular file, or they would block without a writer.
        std::fs::remove_file(&self.pipe)?;
        std::fs::write(&self.pipe, &settings)?;
        self.process.signal(signal)?;
        sleep(Duration::from_millis(50)).await;
        std::io::Write::write_all(&mut writer, settings.as_bytes())?;
        Ok(())
    }

    async fn until_logged(&self, event: &str) -> anyhow::Result<()> {
        until(event, async || Ok(std::fs::read_to_string(&self.log)?.contains(event))).await
    }
}

// The settings file changes just after a start, and SIGHUP arrives before the instance is up. The
// instance has to reload its settings and serve; if the signal ended it, that would look like a
// crash.
#[test]
fn hangup_during_the_start_is_a_reload() {
    run(async {
        let mut starting = Starting::new("hangup").await?;
        starting.signal(Signal::SIGHUP).await?;
        starting.until_logged("event=started").await?;
        starting.until_logged("event=reloaded").await?;
        assert!(starting.process.exit_status()?.is_none());
        Ok(())
    });
}

// SIGTERM arrives before the instance is up. The instance stops as planned, with exit code 0.
#[test]
fn stop_during_the_start_is_a_planned_one() {
    run(async {
        let mut starting = Starting::new("stop").await?;
        starting.signal(Signal::SIGTERM).await?;
        starting.until_logged("event=stopped").await?;
        until("the process has ended", async || Ok(starting.process.exit_status()?.is_some()))
            .await?;
        assert!(starting.process.exit_status()?.is_some_and(|status| status.success()));
        Ok(())
    });
}
