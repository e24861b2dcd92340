//! One gateway instance as a `limpetstandd` process.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use eyre::{Result, WrapErr, bail, eyre};
use tokio::process::{Child, Command};

use super::usage::Usage;
use crate::link::{RegionIndex, Relay};

const READY_POLL: Duration = Duration::from_millis(20);

/// Returns the path of `limpetstandd` in the folder of this program's executable.
///
/// For an executable in a folder `deps`, as cargo places tests, the parent folder is searched too.
///
/// # Errors
///
/// If there is no such file.
pub fn find_daemon() -> Result<PathBuf> {
    let executable = std::env::current_exe().wrap_err("cannot read the path of this executable")?;
    let mut folder = executable.parent();
    while let Some(dir) = folder {
        let daemon = dir.join("limpetstandd");
        if daemon.is_file() {
            return Ok(daemon);
        }
        if dir.file_name().is_none_or(|name| name != "deps") {
            break;
        }
        folder = dir.parent();
    }
    bail!(
        "no `limpetstandd` in the folder of {}; build it first: cargo build --release",
        executable.display()
    )
}

/// State of an instance's process, according to the signals that were sent to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    /// The process runs.
    Running,
    /// SIGTERM was sent and the instance drains.
    Leaving,
    /// The process is stopped by SIGSTOP.
    Frozen,
    /// The process has exited.
    Exited,
}

/// A running instance and its addresses.
#[derive(Debug)]
pub struct Instance {
    /// Name of the instance.
    pub id: String,
    /// Region of the instance.
    pub region: RegionIndex,
    /// Address of the interface for callers.
    pub front: SocketAddr,
    /// Address of the admin interface.
    pub admin: SocketAddr,
    /// State of the process.
    pub state: ProcessState,
    pub(super) output_file: PathBuf,
    pub(super) child: Child,
    pub(super) _relay: Relay,
}

impl Instance {
    /// Starts the daemon with a settings file and writes its output to the file `output_file`.
    pub(super) fn spawn(daemon: &Path, settings: &Path, output_file: &Path) -> Result<Child> {
        let out = File::create(output_file).wrap_err("cannot create the output file")?;
        let err = out.try_clone().wrap_err("cannot create the output file")?;
        Command::new(daemon)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", daemon.display()))
    }

    /// Waits until the interface for callers answers a health check.
    pub(super) async fn wait_ready(
        &mut self,
        client: &reqwest::Client,
        wait: Duration,
    ) -> Result<()> {
        let url = format!("http://{}/healthz", self.front);
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            if let Some(status) = self.child.try_wait()? {
                self.state = ProcessState::Exited;
                return Err(self.early_exit(status));
            }
            if client.get(&url).send().await.is_ok() {
                return Ok(());
            }
            if tokio::time::Instant::now() > deadline {
                bail!("{} did not answer at {url} within {wait:?}", self.id);
            }
            tokio::time::sleep(READY_POLL).await;
        }
    }

    /// Returns the processor time and memory that the process has used.
    ///
    /// # Errors
    ///
    /// If the process has exited.
    pub fn usage(&self) -> Result<Usage> {
        let pid = self
            .child
            .id()
            .ok_or_else(|| eyre!("{} has exited", self.id))?;
        Usage::of_process(pid)
    }

    /// Sends a signal by its name, such as `TERM`.
    ///
    /// # Errors
    ///
    /// If the process has exited or the command `kill` fails.
    pub async fn signal(&self, name: &str) -> Result<()> {
        let pid = self
            .child
            .id()
            .ok_or_else(|| eyre!("{} has exited", self.id))?;
        let mut command = Command::new("kill");
        command.arg(format!("-{name}")).arg(pid.to_string());
        let status = command.status().await.wrap_err("cannot run kill")?;
        if !status.success() {
            bail!("kill -{name} {pid}: {status}");
        }
        Ok(())
    }

    /// Sends SIGTERM, upon which the instance drains and exits.
    ///
    /// # Errors
    ///
    /// As for [`Instance::signal`].
    pub async fn terminate(&mut self) -> Result<()> {
        self.signal("TERM").await?;
        self.state = ProcessState::Leaving;
        Ok(())
    }

    /// Stops the process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// As for [`Instance::signal`].
    pub async fn suspend(&mut self) -> Result<()> {
        self.signal("STOP").await?;
        self.state = ProcessState::Frozen;
        Ok(())
    }

    /// Continues a stopped process with SIGCONT.
    ///
    /// # Errors
    ///
    /// As for [`Instance::signal`].
    pub async fn resume(&mut self) -> Result<()> {
        self.signal("CONT").await?;
        self.state = ProcessState::Running;
        Ok(())
    }

    /// Kills the process and waits for its exit.
    ///
    /// # Errors
    ///
    /// If the process cannot be killed.
    pub async fn kill(&mut self) -> Result<()> {
        self.child
            .kill()
            .await
            .wrap_err("cannot kill the process")?;
        self.state = ProcessState::Exited;
        Ok(())
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// If the process has not exited after `wait`.
    pub async fn wait_exit(&mut self, wait: Duration) -> Result<ExitStatus> {
        let exited = tokio::time::timeout(wait, self.child.wait()).await;
        let status = exited.map_err(|_| eyre!("{} has not exited after {wait:?}", self.id))??;
        self.state = ProcessState::Exited;
        Ok(status)
    }

    fn early_exit(&self, status: ExitStatus) -> eyre::Report {
        let output = std::fs::read_to_string(&self.output_file).unwrap_or_default();
        eyre!(
            "{} exited at startup ({status}): {}",
            self.id,
            output.trim()
        )
    }
}
