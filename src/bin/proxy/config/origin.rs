//! Sources of the configuration, and how each is read.
//!
//! The source is kept for the lifetime of the process: a SIGHUP reads the same file again.

use super::file::{Addresses, File, OperatorFile};
use super::{Args, Error, parse_discovery};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::env;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Source of the configuration.
#[derive(Clone)]
pub enum Origin {
    /// JSON file that the platform names in RELAY_CONFIG.
    Platform(PathBuf),
    /// TOML file that an operator names with `--config`.
    Operator(PathBuf),
    /// TOML text embedded in the program, which `--local` selects.
    Local,
}

impl Origin {
    /// Selects the source: `--local`, else `--config`, else RELAY_CONFIG.
    pub(super) fn find(args: &Args) -> Result<Self, Error> {
        if args.local {
            return Ok(Origin::Local);
        }
        let from_environment = || env::var_os("RELAY_CONFIG").map(|path| Origin::Platform(path.into()));
        let found = args.config.clone().map(Origin::Operator).or_else(from_environment);
        found.ok_or(Error::NotNamed)
    }

    /// Reads discovery's addresses from the current file, which may have been replaced since the start. The command line
    /// and the environment can't change, and are not consulted. Other keys of the file are ignored.
    pub fn discovery(&self) -> Result<Vec<SocketAddr>, Error> {
        #[derive(Deserialize)]
        struct DiscoveryOnly {
            discovery: Option<Addresses>,
        }
        parse_discovery(self.parse::<DiscoveryOnly>()?.discovery)
    }

    /// Reads the whole file. An operator's file gets a random seed if it has none.
    pub(super) fn read(&self) -> Result<File, Error> {
        if let Origin::Platform(_) = self {
            return self.parse();
        }
        let file: OperatorFile = self.parse()?;
        Ok(File {
            listen: file.listen,
            discovery: file.discovery,
            service: file.service,
            ops: file.ops,
            seed: file.seed.unwrap_or_else(|| format!("{:x}", fastrand::u64(..))),
            limits: file.limits,
            known: None,
            settings: file.settings,
            list_guard: Some(file.list_guard),
            discovery_backoff: Some(file.discovery_backoff),
            membership: file.membership,
            routes: file.routes,
            record: file.record,
        })
    }

    /// Parses the source as JSON or TOML, according to its kind; an error names the key.
    fn parse<T: DeserializeOwned>(&self) -> Result<T, Error> {
        let read = |by, path: &Path| {
            std::fs::read_to_string(path).map_err(|source| Error::Unreadable {
                by,
                path: path.into(),
                source,
            })
        };
        let (text, place) = match self {
            Origin::Platform(path) => (read("RELAY_CONFIG", path)?, path.display().to_string()),
            Origin::Operator(path) => (read("--config", path)?, path.display().to_string()),
            Origin::Local => {
                (include_str!("../../../../deploy/local.toml").into(), "deploy/local.toml".into())
            }
        };
        if let Origin::Platform(_) = self {
            let json = &mut serde_json::Deserializer::from_str(&text);
            return serde_path_to_error::deserialize(json)
                .map_err(|e| Error::Malformed { what: e.to_string(), place });
        }
        // The TOML parser's messages have several lines, and a log entry has one.
        let malformed = |key: &str, e: &toml::de::Error| Error::Malformed {
            what: format!("{key}: {}", e.message().replace('\n', "; ")),
            place: place.clone(),
        };
        let toml = toml::Deserializer::parse(&text).map_err(|e| malformed("not TOML", &e))?;
        serde_path_to_error::deserialize(toml).map_err(|e| malformed(&e.path().to_string(), e.inner()))
    }
}
