//! Counts the processes that listen at one address while one process replaces another.
//!
//! During a replacement two processes share a port, and divide what the platform grants to one proxy (descriptors,
//! budgets). Each process holds the lock on one file of its address; the system releases the lock when the process
//! ends in any way. Owns that lock, and checks the locks of the others every [`POLL_INTERVAL`].

use std::fs::{File, TryLockError};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Largest number of processes that are counted at one address; further processes are not counted.
const MAX_PROCESSES: usize = 8;
/// Interval at which a process checks the other processes' locks.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The reason why a process cannot be counted.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The lock files of the address are all locked.
    #[error("{max} processes are already counted at this address; stop those that are not needed", max = MAX_PROCESSES)]
    Full,
    /// The lock file cannot be used.
    #[error("cannot lock {}: {source}; set TMPDIR to a directory that this process can write to", path.display())]
    Unusable {
        /// Path of the lock file.
        path: PathBuf,
        /// The error of opening or locking the file.
        source: std::io::Error,
    },
}

/// The lock files of one address, which count its listeners; this process holds the lock on one of them.
pub struct SharedListeners {
    lock_files: Vec<PathBuf>,
    own_index: usize,
    _lock: File,
}

impl SharedListeners {
    /// Locks the first free lock file of an address. Fails if all are locked, or if a file cannot be used and no
    /// other is free.
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

    /// Returns the lock files of the address, by index. A process records the ids of the requests that it sends in its own.
    pub fn id_files(&self) -> Vec<PathBuf> {
        self.lock_files.clone()
    }

    /// Returns the index of this process among those at the address.
    pub fn own_index(&self) -> usize {
        self.own_index
    }

    /// Returns the number of processes at the address, including this one.
    pub fn count(&self) -> u32 {
        let files = self.lock_files.iter().enumerate();
        let others = files.filter(|(index, path)| *index != self.own_index && is_locked(path));
        1 + others.count() as u32
    }

    /// Publishes the number of processes on `processes` whenever it changes. Never returns.
    pub async fn publish_count(self, processes: watch::Sender<u32>) {
        loop {
            let now = self.count();
            processes.send_if_modified(|before| std::mem::replace(before, now) != now);
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns the path of a lock file of an address. The file name contains the program's earlier name so that
/// processes of earlier and current versions count each other by the same files during a replacement.
fn lock_file(folder: &Path, address: SocketAddr, index: usize) -> PathBuf {
    folder.join(format!("heathroad-{}-{}.{index}.lock", address.ip(), address.port()))
}

/// Returns whether a process holds the lock. The check uses a shared lock, since two processes that check at the
/// same time with exclusive locks would each count the other as the holder.
fn is_locked(path: &Path) -> bool {
    let Ok(file) = File::open(path) else { return false };
    matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock))
}

#[cfg(test)]
#[path = "../../../tests/unit/proxy/handover.rs"]
mod tests;
