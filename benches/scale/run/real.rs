//! A real proxy among the hollow ones.

use super::config;
use super::error::{Error, Result};
use super::process::{Folder, Process};
use super::sample::Sample;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::Command;

/// A started `proxy`.
pub struct Real {
    /// Its number in the fleet.
    pub number: usize,
    process: Process,
    ops: SocketAddr,
}

/// What it is started with.
pub struct RealPlan<'a> {
    /// Its number in the fleet.
    pub number: usize,
    /// Where it finds the registry.
    pub registry: SocketAddr,
    /// The service that it asks for.
    pub service: Option<&'a str>,
    /// Proxies that send to the same backends.
    pub peers: usize,
    /// How often it reports.
    pub report_ms: u64,
}

impl Real {
    /// Starts one.
    pub async fn start(program: &Path, folder: &Folder, plan: RealPlan<'_>) -> Result<Real> {
        let name = format!("p{}", plan.number);
        let settings = config::settings(plan.number % super::plan::ZONES, plan.peers);
        let text = config::proxy(&name, plan.registry, plan.service, plan.report_ms, settings);
        let file = folder.write(&format!("{name}.toml"), &text)?;
        let mut command = Command::new(program);
        command.arg("--config").arg(file).env("RUST_LOG", "info");
        ["RELAY_LISTEN", "RELAY_OPS", "RELAY_DISCOVERY", "RELAY_CONFIG"].iter().for_each(|name| {
            command.env_remove(name);
        });
        let ops = |line: &str| line.split_once("ops on ")?.1.trim().parse().ok();
        let (process, ops) = Process::start(&format!("proxy {name}"), command, ops).await?;
        Ok(Real { number: plan.number, process, ops })
    }

    /// What it has taken.
    pub fn sample(&self) -> Result<Sample> {
        self.process.sample()
    }

    /// Begins its peak anew.
    pub fn reset_peak(&self) {
        self.process.reset_peak();
    }

    /// How many backends it knows.
    pub async fn known(&self) -> Result<usize> {
        Ok(self.page("counters").await?["backends_known"].as_u64().unwrap_or_default() as usize)
    }

    /// The route table in force.
    pub async fn revision(&self) -> Result<u64> {
        Ok(self.page("routes").await?["revision"].as_u64().unwrap_or_default())
    }

    async fn page(&self, call: &str) -> Result<Value> {
        let failed = |source| Error::Process { what: format!("proxy p{}", self.number), source };
        let mut stream = TcpStream::connect(self.ops).await.map_err(failed)?;
        stream.write_all(format!("{call}\n").as_bytes()).await.map_err(failed)?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.map_err(failed)?;
        let page = text.lines().next().and_then(|line| serde_json::from_str(line).ok());
        page.ok_or_else(|| Error::Said { what: format!("proxy p{}", self.number), said: text })
    }
}
