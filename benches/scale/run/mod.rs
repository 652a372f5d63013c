//! The scale run. The driver starts, for each size, a registry, workers with hollow proxies and a few real proxies, and
//! plays scenarios; slopes are fitted to the sizes, and the largest one is predicted before it is run.
#![allow(dead_code)]

pub mod agent;
pub mod args;
pub mod clock;
pub mod compare;
pub mod config;
pub mod driver;
pub mod entries;
pub mod error;
pub mod fit;
pub mod fleet;
pub mod hands;
pub mod hold;
pub mod hollow;
pub mod meter;
pub mod order;
pub mod plan;
pub mod process;
pub mod real;
pub mod registry;
pub mod report;
pub mod sample;
pub mod scenario;
pub mod spread;
pub mod standing;
pub mod traffic;
pub mod truth;
pub mod window;
pub mod worker;

use args::Args;
use clap::Parser;
use error::Error;
use std::process::ExitCode;

/// The program.
pub fn main() -> ExitCode {
    let args = Args::parse();
    if args.worker {
        return match worker::process() {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::FAILURE,
        };
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let ran = match runtime {
        Ok(runtime) => runtime.block_on(driver::run(args)),
        Err(source) => Err(Error::Process { what: "the driver's runtime".into(), source }),
    };
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
