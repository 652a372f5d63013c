//! Errors in the configuration. Each message is one line that says what to change.

use load_balancer::catalog::ServiceNameError;
use load_balancer::platform_settings;
use std::io;
use std::path::PathBuf;

/// Error in the configuration.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Neither the command line nor the environment names a configuration.
    #[error("RELAY_CONFIG is not set, and neither --config nor --local is given; give one of them")]
    NotNamed,
    /// The configuration file can't be read.
    #[error("{by}: {}: {source}; let {by} name a file that this process may read", path.display())]
    Unreadable {
        /// Flag or environment variable that names the file.
        by: &'static str,
        /// Path of the configuration file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The text is not valid JSON or TOML, or one of its keys is unknown, missing or of the wrong type.
    #[error("config: {what}; mend it in {place}")]
    Malformed {
        /// Message of the parser, which names the key where there is one.
        what: String,
        /// Path of the file, or of the embedded configuration in the repository.
        place: String,
    },
    /// The platform's settings can't be parsed.
    #[error("config: {0}; mend this key in the file")]
    Settings(#[from] platform_settings::Error),
    /// A key has a value that is out of range or contradicts another key.
    #[error("config: {0}; mend this key in the file")]
    Value(String),
    /// An address is not configured.
    #[error("config: {0}: is missing; set it in the file, by --{0} or by RELAY_{upper}", upper = .0.to_uppercase())]
    Missing(&'static str),
    /// The text of an address can't be parsed.
    #[error("config: {key}: {text}: {source}; give IP:PORT, such as 127.0.0.1:7000")]
    Address {
        /// Key of the address.
        key: &'static str,
        /// Text that was given.
        text: String,
        /// Error of the parser.
        source: std::net::AddrParseError,
    },
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("config: seed: {0}; give up to 16 hexadecimal digits")]
    Seed(#[from] std::num::ParseIntError),
    /// The name of the service is not a valid service name.
    #[error("config: {0}; mend it in the file or at --service")]
    Service(#[from] ServiceNameError),
    /// More addresses of discovery are configured than the maximum, which is the value.
    #[error("config: discovery: at most {0} addresses; leave some out")]
    TooManyRegistries(usize),
}
