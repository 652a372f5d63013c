//! The registry of a run.

use super::args::Args;
use super::config;
use super::error::{Error, Result};
use super::plan::instances;
use super::process::{Folder, Process};
use super::sample::Sample;
use crate::registry_rig::call;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::process::Command;

/// Entries of one registration, which takes at most 1 MiB.
const BATCH: usize = 1000;

/// A registry, which may be killed and started again at its address.
pub struct Registry {
    process: Process,
    /// Where it listens.
    pub address: SocketAddr,
    program: PathBuf,
    config: PathBuf,
    data: PathBuf,
}

impl Registry {
    /// Starts one with a data directory of its own in a folder.
    pub async fn start(folder: &Folder, args: &Args) -> Result<Registry> {
        let config = folder.write("registry.toml", &config::registry(args.report_ms, args.stand_ms))?;
        let (data, program) = (folder.path().join("data"), args.registry.clone());
        let (process, address) = spawn(&program, &config, &data, "127.0.0.1:0").await?;
        Ok(Registry { process, address, program, config, data })
    }

    /// kill -9, and a start at the same address: from what is on disk, or without it.
    pub async fn restart(&mut self, empty: bool) -> Result<()> {
        self.process.kill().await?;
        if empty {
            let failed = |source| Error::File { path: self.data.display().to_string(), source };
            std::fs::remove_dir_all(&self.data).map_err(failed)?;
        }
        let at = self.address.to_string();
        (self.process, self.address) = spawn(&self.program, &self.config, &self.data, &at).await?;
        Ok(())
    }

    /// What it has taken.
    pub fn sample(&self) -> Result<Sample> {
        self.process.sample()
    }

    /// Begins its peak anew.
    pub fn reset_peak(&self) {
        self.process.reset_peak();
    }

    /// A call that is answered with 200; its JSON.
    pub async fn call(&self, method: &str, path: &str, body: &Value) -> Result<Value> {
        let failed = |why| Error::Call { address: self.address, path: path.into(), why };
        let body = if body.is_null() { Vec::new() } else { body.to_string().into_bytes() };
        let (status, text) = call(self.address, method, path, body).await.map_err(failed)?;
        if status != 200 {
            return Err(failed(format!("{status} {text}")));
        }
        serde_json::from_str(&text).map_err(|e| failed(e.to_string()))
    }

    /// Registers entries with a service.
    pub async fn register(&self, service: Option<&str>, entries: &[Value], ttl_ms: u64) -> Result<()> {
        for batch in entries.chunks(BATCH) {
            let body = json!({"ttl_ms": ttl_ms, "hosts": batch});
            self.call("PUT", &instances(service), &body).await?;
        }
        Ok(())
    }
}

async fn spawn(program: &Path, config: &Path, data: &Path, listen: &str) -> Result<(Process, SocketAddr)> {
    let mut command = Command::new(program);
    command.args(["--listen", listen, "--log-json", "--config"]).arg(config).arg("--data").arg(data);
    command.env("RUST_LOG", "info");
    let listening = |line: &str| {
        let said: Value = serde_json::from_str(line).ok()?;
        (said["message"] == "listening").then(|| said["address"].as_str()?.parse().ok())?
    };
    Process::start("the registry", command, listening).await
}
