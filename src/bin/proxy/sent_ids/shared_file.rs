//! Files in which the processes at one address tell each other what they have sent: a ring of records for each process.

use super::IdHash;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;

/// Bytes of a record, and of the count of records at the head of a file.
const RECORD_BYTES: usize = 8;

/// What happened to an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Record {
    /// An attempt at its request was about to be written.
    Claimed(IdHash),
    /// No attempt at its request can have run.
    Released(IdHash),
}

impl Record {
    fn to_bytes(self) -> [u8; RECORD_BYTES] {
        match self {
            Record::Claimed(IdHash(hash)) => (hash | 1).to_le_bytes(),
            Record::Released(IdHash(hash)) => hash.to_le_bytes(),
        }
    }

    fn from_bytes(bytes: [u8; RECORD_BYTES]) -> Self {
        let value = u64::from_le_bytes(bytes);
        let id = IdHash(value & !1);
        if value & 1 == 1 { Record::Claimed(id) } else { Record::Released(id) }
    }
}

/// The ring of one process.
struct Ring {
    file: File,
    /// Number of records that were written, or read, since the file was created.
    count: u64,
}

/// The rings of all processes at the address.
pub(super) struct SharedFiles {
    paths: Vec<PathBuf>,
    own: usize,
    capacity: u64,
    /// The rings by process; `None` while a process has no file.
    rings: Vec<Option<Ring>>,
    /// What an earlier process wrote to the file of this one.
    inherited: Vec<Record>,
}

impl SharedFiles {
    /// Opens the files at `paths`, and creates that of this process. All files have the same capacity.
    pub(super) fn open(paths: Vec<PathBuf>, own: usize, capacity: usize) -> io::Result<Self> {
        let path = paths.get(own).ok_or(io::ErrorKind::NotFound)?;
        let file = File::options().create(true).truncate(false).read(true).write(true).open(path)?;
        let mut ring = Ring { file, count: 0 };
        let inherited = ring.read_new(capacity as u64);
        let mut rings: Vec<_> = paths.iter().map(|_| None).collect();
        rings[own] = Some(ring);
        Ok(SharedFiles { paths, own, capacity: capacity as u64, rings, inherited })
    }

    /// Writes a record of this process.
    pub(super) fn write(&mut self, record: Record) -> io::Result<()> {
        let Some(ring) = &mut self.rings[self.own] else { return Ok(()) };
        ring.file.write_all_at(&record.to_bytes(), position(ring.count % self.capacity))?;
        ring.count += 1;
        // The count makes the record visible.
        ring.file.write_all_at(&ring.count.to_le_bytes(), 0)
    }

    /// Returns what the other processes have written since the last call. A file that cannot be read counts as empty.
    pub(super) fn read_others(&mut self) -> Vec<Record> {
        let mut records = std::mem::take(&mut self.inherited);
        for (index, path) in self.paths.iter().enumerate().filter(|(index, _)| *index != self.own) {
            let ring = &mut self.rings[index];
            if ring.is_none() {
                *ring = File::open(path).ok().map(|file| Ring { file, count: 0 });
            }
            if let Some(ring) = ring {
                records.extend(ring.read_new(self.capacity));
            }
        }
        records
    }
}

impl Ring {
    /// Returns the records that were written since the last call, as far as they were not overwritten.
    fn read_new(&mut self, capacity: u64) -> Vec<Record> {
        let mut bytes = [0; RECORD_BYTES];
        if self.file.read_exact_at(&mut bytes, 0).is_err() {
            return Vec::new();
        }
        let written = u64::from_le_bytes(bytes);
        let first = self.count.max(written.saturating_sub(capacity));
        self.count = written;
        (first..written).filter_map(|number| self.read(number % capacity)).collect()
    }

    fn read(&self, index: u64) -> Option<Record> {
        let mut bytes = [0; RECORD_BYTES];
        self.file.read_exact_at(&mut bytes, position(index)).ok()?;
        Some(Record::from_bytes(bytes))
    }
}

/// Returns the position of a record in its file.
fn position(index: u64) -> u64 {
    RECORD_BYTES as u64 * (1 + index)
}
