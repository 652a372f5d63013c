//! Where the configuration stands, and how it is read from there.

use super::file::{Addresses, File, OwnFile};
use super::{Args, Error, addresses};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::env;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Where the configuration stands.
#[derive(Clone)]
pub enum Origin {
    /// The JSON file that the platform names in RELAY_CONFIG.
    Platform(PathBuf),
    /// The TOML file of `--config`.
    Own(PathBuf),
    /// The TOML text of `--local`.
    Local,
}

impl Origin {
    pub(super) fn find(args: &Args) -> Result<Self, Error> {
        if args.local {
            return Ok(Origin::Local);
        }
        let platforms = || env::var_os("RELAY_CONFIG").map(|path| Origin::Platform(path.into()));
        let found = args.config.clone().map(Origin::Own).or_else(platforms);
        found.ok_or(Error::Nowhere)
    }

    /// Where discovery answers by the file as it is now: it may have been replaced since the start, which the
    /// environment does not show. Nothing else of the file is looked at.
    pub fn discovery(&self) -> Result<Vec<SocketAddr>, Error> {
        #[derive(Deserialize)]
        struct Moved {
            discovery: Option<Addresses>,
        }
        addresses(self.parse::<Moved>()?.discovery)
    }

    pub(super) fn read(&self) -> Result<File, Error> {
        if let Origin::Platform(_) = self {
            return self.parse();
        }
        let own: OwnFile = self.parse()?;
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

    /// Parses the text in the form that it has where it stands; an error names the key.
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
            Origin::Own(path) => (read("--config", path)?, path.display().to_string()),
            Origin::Local => {
                (include_str!("../../../../deploy/local.toml").into(), "deploy/local.toml".into())
            }
        };
        if let Origin::Platform(_) = self {
            let json = &mut serde_json::Deserializer::from_str(&text);
            return serde_path_to_error::deserialize(json)
                .map_err(|e| Error::Text { what: e.to_string(), place });
        }
        // TOML's own message has several lines, and what is logged has one.
        let wrong = |key: &str, e: &toml::de::Error| Error::Text {
            what: format!("{key}: {}", e.message().replace('\n', "; ")),
            place: place.clone(),
        };
        let toml = toml::Deserializer::parse(&text).map_err(|e| wrong("not TOML", &e))?;
        serde_path_to_error::deserialize(toml).map_err(|e| wrong(&e.path().to_string(), e.inner()))
    }
}
