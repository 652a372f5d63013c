//! Why a configuration cannot be used, and what to change in it.

use load_balancer::catalog::ServiceNameError;
use load_balancer::platform_settings;
use std::io;
use std::path::PathBuf;

/// Why a configuration cannot be used. Each is one line.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Nothing says where it is.
    #[error("RELAY_CONFIG is not set, and neither --config nor --local is given; give one of them")]
    Nowhere,
    /// Its file cannot be read.
    #[error("{by}: {}: {source}; let {by} name a file that this process may read", path.display())]
    Unreadable {
        /// What names it.
        by: &'static str,
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: io::Error,
    },
    /// Its text cannot be read; a key is named where there is one.
    #[error("config: {what}; mend it in {place}")]
    Text {
        /// What is wrong with it.
        what: String,
        /// Where it stands.
        place: String,
    },
    /// The settings in it cannot be read.
    #[error("config: {0}; mend this key in the file")]
    Settings(#[from] platform_settings::Error),
    /// A key has a value that cannot be used.
    #[error("config: {0}; mend this key in the file")]
    Value(String),
    /// An address is missing.
    #[error("config: {0}: is missing; set it in the file, by --{0} or by RELAY_{upper}", upper = .0.to_uppercase())]
    Missing(&'static str),
    /// An address is none.
    #[error("config: {key}: {text}: {source}; give IP:PORT, such as 127.0.0.1:7000")]
    Address {
        /// What it is of.
        key: &'static str,
        /// What was given.
        text: String,
        /// What is wrong with it.
        source: std::net::AddrParseError,
    },
    /// The seed is no number.
    #[error("config: seed: {0}; give up to 16 hexadecimal digits")]
    Seed(#[from] std::num::ParseIntError),
    /// The service has no name that registries know.
    #[error("config: {0}; mend it in the file or at --service")]
    Service(#[from] ServiceNameError),
    /// There are too many registries.
    #[error("config: discovery: at most {0} addresses; leave some out")]
    ManyRegistries(usize),
}
