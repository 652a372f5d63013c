//! The processes that stand at one address while one replaces another: how many there are. What the platform
//! gives to a proxy is then theirs together.

use std::fs::{File, TryLockError};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Most that are told apart; one more goes uncounted.
const MOST: usize = 8;
/// How often they look for each other.
const LOOK: Duration = Duration::from_millis(100);

/// Why a process has no place.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// There are too many.
    #[error("all places are taken; end those at this address that are not needed")]
    Full,
    /// The lock file cannot be used.
    #[error("{}: {source}; let TMPDIR be a folder that this process may write to", path.display())]
    Unusable {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: std::io::Error,
    },
}

/// This process's place among them. The system frees it when the process ends, however it ends.
pub struct Siblings {
    files: Vec<PathBuf>,
    own: usize,
    _lock: File,
}

impl Siblings {
    /// Takes the first free place at an address.
    pub fn join(folder: &Path, address: SocketAddr) -> Result<Self, Error> {
        let name = |n| folder.join(format!("heathroad-{}-{}.{n}.lock", address.ip(), address.port()));
        let files: Vec<PathBuf> = (0..MOST).map(name).collect();
        let mut last = Error::Full;
        for (own, path) in files.iter().enumerate() {
            let opened = File::options().create(true).truncate(false).write(true).open(path);
            match opened.map(|file| file.try_lock().map(|()| file)) {
                Ok(Ok(lock)) => return Ok(Siblings { files, own, _lock: lock }),
                Ok(Err(TryLockError::WouldBlock)) => {}
                Ok(Err(TryLockError::Error(e))) | Err(e) => {
                    last = Error::Unusable { path: path.clone(), source: e };
                }
            }
        }
        Err(last)
    }

    /// How many processes there are, this one included.
    pub fn count(&self) -> u32 {
        let others = self.files.iter().enumerate().filter(|(n, path)| *n != self.own && taken(path));
        1 + others.count() as u32
    }

    /// Tells their number whenever it changes, for ever.
    pub async fn follow(self, told: watch::Sender<u32>) {
        loop {
            let now = self.count();
            told.send_if_modified(|was| std::mem::replace(was, now) != now);
            sleep(LOOK).await;
        }
    }
}

/// Whether a process holds the place. Asked by a lock that may be shared, so that two who look at once do not
/// take each other for its holder.
fn taken(path: &Path) -> bool {
    let Ok(file) = File::open(path) else { return false };
    matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock))
}

#[cfg(test)]
#[path = "../../../tests/unit/proxy/handover.rs"]
mod tests;
