//! Where the configuration file is, and how it is read from there.
//!
//! Kept for the life of the process: a SIGHUP reads the same file again.

use super::file::{Addresses, File, OperatorFile};
use super::{Args, Error, addresses};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::env;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Where the configuration is.
#[derive(Clone)]
pub enum Origin {
    /// The JSON file that the platform names in RELAY_CONFIG.
    Platform(PathBuf),
    /// The TOML file of `--config`.
    Operator(PathBuf),
    /// The TOML text of `--local`.
    Local,
}

impl Origin {
    pub(super) fn find(args: &Args) -> Result<Self, Error> {
        if args.local {
            return Ok(Origin::Local);
        }
        let platforms = || env::var_os("RELAY_CONFIG").map(|path| Origin::Platform(path.into()));
        let found = args.config.clone().map(Origin::Operator).or_else(platforms);
        found.ok_or(Error::Nowhere)
    }

    /// Discovery's addresses in the file as it is now; it may have been replaced since the start. The command line and the
    /// environment cannot change, and are not consulted. Nothing else in the file is read.
    pub fn discovery(&self) -> Result<Vec<SocketAddr>, Error> {
        #[derive(Deserialize)]
        struct DiscoveryOnly {
            discovery: Option<Addresses>,
        }
        addresses(self.parse::<DiscoveryOnly>()?.discovery)
    }

    pub(super) fn read(&self) -> Result<File, Error> {
        if let Origin::Platform(_) = self {
            return self.parse();
        }
        let own: OperatorFile = self.parse()?;
        Ok(File {
            listen: own.listen,
            discovery: own.discovery,
            service: own.service,
            ops: own.ops,
            seed: own.seed.unwrap_or_else(|| format!("{:x}", fastrand::u64(..))),
            limits: own.limits,
            known: None,
            settings: own.settings,
            list_guard: Some(own.list_guard),
            discovery_backoff: Some(own.discovery_backoff),
            membership: own.membership,
            routes: own.routes,
            record: own.record,
        })
    }

    /// Parses the text, JSON or TOML by where it is; an error names the key.
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
                .map_err(|e| Error::Text { what: e.to_string(), place });
        }
        // TOML's own message has several lines; a log line is one.
        let wrong = |key: &str, e: &toml::de::Error| Error::Text {
            what: format!("{key}: {}", e.message().replace('\n', "; ")),
            place: place.clone(),
        };
        let toml = toml::Deserializer::parse(&text).map_err(|e| wrong("not TOML", &e))?;
        serde_path_to_error::deserialize(toml).map_err(|e| wrong(&e.path().to_string(), e.inner()))
    }
}
