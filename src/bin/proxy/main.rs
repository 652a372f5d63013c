//! Load-balancing HTTP proxy that carries out the decision module's actions on sockets.
//!
//! `startup/` has the order of the start and the stop; `downstream/` receives requests from clients.

#![forbid(unsafe_code)]
#![warn(clippy::cognitive_complexity)]

mod body;
mod config;
mod counters;
mod descriptors;
mod downstream;
mod engine;
mod error;
mod handover;
mod io;
mod lifecycle;
mod log;
mod memory;
mod observer;
mod ops;
mod recorder;
mod refusals;
mod request_trace;
mod route_table;
mod sent_ids;
mod startup;
mod upstream;

use error::Error;
use std::process::ExitCode;
use tokio::task::LocalSet;
use tracing::error;

fn main() -> ExitCode {
    log::init();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!("{e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the proxy on one thread, so that events are totally ordered.
fn start() -> Result<(), Error> {
    let config = config::load()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.map_err(Error::Runtime)?, startup::run(config))
}

#[cfg(test)]
#[path = "../../../tests/unit/proxy/paused/mod.rs"]
mod paused;
