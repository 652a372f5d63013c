//! Processes of a run, each ended with its handle.

use super::error::{Error, Result};
use super::sample::{self, Sample};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// A process says within this that it listens.
const START: Duration = Duration::from_secs(30);

/// A started process; it is killed when this is dropped.
pub struct Process {
    what: String,
    child: Child,
    pid: u32,
}

impl Process {
    /// Starts one and waits for the line of its log that `address` finds an address in.
    pub async fn start(
        what: &str,
        mut command: Command,
        address: impl Fn(&str) -> Option<SocketAddr>,
    ) -> Result<(Process, SocketAddr)> {
        let failed = |source| Error::Process { what: what.into(), source };
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn().map_err(failed)?;
        let pid = child.id().unwrap_or_default();
        let ended = |said: &str| Error::Said { what: what.into(), said: format!("ended: {said}") };
        let mut lines = BufReader::new(child.stderr.take().ok_or_else(|| ended("no log"))?).lines();
        let mut last = String::new();
        let listens = async {
            while let Some(line) = lines.next_line().await.map_err(failed)? {
                if let Some(address) = address(&line) {
                    return Ok(address);
                }
                last = line;
            }
            Err(ended(&last))
        };
        let late = |_| Error::Said { what: what.into(), said: "did not listen in time".into() };
        let at = timeout(START, listens).await.map_err(late)??;
        // Its log is read on, or it would stand still when the pipe is full.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok((Process { what: what.into(), child, pid }, at))
    }

    /// What it has taken.
    pub fn sample(&self) -> Result<Sample> {
        Sample::of(self.pid)
    }

    /// Begins its peak anew.
    pub fn reset_peak(&self) {
        sample::reset_peak(self.pid);
    }

    /// SIGKILL, and waits for the end.
    pub async fn kill(&mut self) -> Result<()> {
        let failed = |source| Error::Process { what: self.what.clone(), source };
        self.child.kill().await.map_err(failed)
    }
}

/// A folder that is removed with its handle.
pub struct Folder(PathBuf);

impl Folder {
    /// Makes one under the system's temporary folder.
    pub fn make(name: &str) -> Result<Folder> {
        static MADE: AtomicUsize = AtomicUsize::new(0);
        let number = MADE.fetch_add(1, Relaxed);
        let path = std::env::temp_dir().join(format!("proxy-{name}-{}-{number}", std::process::id()));
        let failed = |source| Error::File { path: path.display().to_string(), source };
        std::fs::create_dir_all(&path).map_err(failed)?;
        Ok(Folder(path))
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a file there.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf> {
        let path = self.0.join(name);
        let failed = |source| Error::File { path: path.display().to_string(), source };
        std::fs::write(&path, text).map_err(failed)?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
