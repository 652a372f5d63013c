//! Counts the processes that listen at one address while one replaces another.
//!
//! During a replacement two processes share a port; what the platform gives to a proxy (descriptors, budgets) is then
//! divided between them. Each process holds the lock on one file per address, which the system releases when the process
//! ends, however it ends. Owns that lock; looks at the others' every [`POLL_INTERVAL`].

use std::fs::{File, TryLockError};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Most processes that are counted at one address; one more goes uncounted.
const MAX_PROCESSES: usize = 8;
/// How often they look for each other.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Why a process cannot be counted.
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

/// The listeners at one address, counted by their lock files; this process holds one of them.
pub struct SharedListeners {
    lock_files: Vec<PathBuf>,
    own_index: usize,
    _lock: File,
}

impl SharedListeners {
    /// Takes the first free lock file of an address.
    pub fn join(folder: &Path, address: SocketAddr) -> Result<Self, Error> {
        let lock_files: Vec<PathBuf> = (0..MAX_PROCESSES).map(|n| lock_file(folder, address, n)).collect();
        let mut last_error = Error::Full;
        for (own_index, path) in lock_files.iter().enumerate() {
            let opened = File::options().create(true).truncate(false).write(true).open(path);
            match opened.map(|file| file.try_lock().map(|()| file)) {
                Ok(Ok(lock)) => return Ok(SharedListeners { lock_files, own_index, _lock: lock }),
                Ok(Err(TryLockError::WouldBlock)) => {}
                Ok(Err(TryLockError::Error(e))) | Err(e) => {
                    last_error = Error::Unusable { path: path.clone(), source: e };
                }
            }
        }
        Err(last_error)
    }

    /// How many processes there are, this one included.
    pub fn count(&self) -> u32 {
        let files = self.lock_files.iter().enumerate();
        let others = files.filter(|(index, path)| *index != self.own_index && is_locked(path));
        1 + others.count() as u32
    }

    /// Publishes the number of processes whenever it changes, for as long as this process runs.
    pub async fn publish_count(self, processes: watch::Sender<u32>) {
        loop {
            let now = self.count();
            processes.send_if_modified(|before| std::mem::replace(before, now) != now);
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// A lock file of an address. The name is kept from the program's earlier name: a process of an earlier version that is
/// replaced, or replaces this one, counts processes by the same files.
fn lock_file(folder: &Path, address: SocketAddr, index: usize) -> PathBuf {
    folder.join(format!("heathroad-{}-{}.{index}.lock", address.ip(), address.port()))
}

/// Whether a process holds the lock. Guards against a process that counts one too many: two that look at once would take
/// each other for the holder, if the lock by which they look were not a shared one.
fn is_locked(path: &Path) -> bool {
    let Ok(file) = File::open(path) else { return false };
    matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock))
}

#[cfg(test)]
#[path = "../../../tests/unit/proxy/handover.rs"]
mod tests;
