//! The registry's state, its log on disk and its snapshots.
//!
//! On disk a record is `length (u32 LE) | crc32 of the payload (u32 LE) | payload (JSON)`. The log holds `Record`s;
//! the snapshot holds one `Snapshot`. See `docs/registry.md`.

use crate::lease::Lease;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// Longest record accepted on reading: anything longer is taken for garbage.
const MAX_RECORD: usize = 1 << 20;
/// A snapshot may be larger than a record.
const MAX_SNAPSHOT: usize = 1 << 30;
/// No change takes fewer bytes on disk: so many versions a cut can have held at the most.
const MIN_RECORD: u64 = 64;
/// Starts whose gaps are kept; a watch from before the oldest one gets the whole list.
const MAX_GAPS: usize = 64;

/// One backend, as discovery lists it (PROTOCOL, "Discovery").
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The backend's name, the same at every proxy.
    pub host: String,
    /// Where it is reached; a deleted entry may have none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dial: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its kind of machine.
    #[serde(default)]
    pub class: String,
    /// Its cell.
    #[serde(default)]
    pub block: u16,
    /// Whether it takes new work.
    pub health: Health,
    /// Its size beside the others'.
    #[serde(default = "one")]
    pub share: f64,
    /// Its last start, Unix time in milliseconds; 0 when long ago.
    #[serde(default)]
    pub born_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// Whether a backend takes new work.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "UPPERCASE")]
pub enum Health {
    /// Takes work.
    Serving,
    /// Finishes what it has and wants nothing new.
    Draining,
    /// Gone: among changes only.
    Deleted,
}

/// Longest host name, as for a DNS name.
const MAX_HOST: usize = 253;

impl Entry {
    /// Why the entry can't be stored, if it can't.
    pub fn invalid(&self) -> Option<String> {
        let host = &self.host;
        if host.is_empty() || host.len() > MAX_HOST || host.chars().any(|c| c.is_control()) {
            return Some(format!("host: must be 1 to {MAX_HOST} printable characters"));
        }
        if self.health != Health::Deleted && self.dial.is_none() {
            return Some(format!("{host}: dial: is missing"));
        }
        if !self.share.is_finite() || self.share < 0.0 {
            return Some(format!("{host}: share: must be a finite number of 0 or more"));
        }
        if !self.born_ms.is_finite() || self.born_ms < 0.0 {
            return Some(format!("{host}: born_ms: must be a finite number of 0 or more"));
        }
        if self.site.len() > MAX_HOST || self.class.len() > MAX_HOST {
            return Some(format!("{host}: site and class: at most {MAX_HOST} bytes"));
        }
        None
    }
}

/// A change with its version: one log record.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Change {
    /// Its version.
    pub seq: u64,
    /// The entry as it is from this version on.
    pub entry: Entry,
    /// How long it lives without renewal.
    #[serde(default = "minute")]
    pub ttl_ms: u64,
}

fn minute() -> u64 {
    60_000
}

/// What the log holds.
pub enum Record {
    /// A change: a new version.
    Change(Change),
    /// A renewal with another TTL, which is no new version.
    Renewal {
        /// Whose.
        host: String,
        /// The TTL from now on.
        ttl_ms: u64,
    },
    /// A start of the registry: versions and tokens go on from here.
    Start(u64),
    /// A lease was granted, or renewed with another TTL.
    Lease(Lease),
    /// A duty is held no longer.
    Release(String),
}

/// The records that are not changes.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Other {
    Renewal { host: String, ttl_ms: u64 },
    Start(u64),
    Lease(Lease),
    Release(String),
}

impl Record {
    fn encode(&self) -> serde_json::Result<Vec<u8>> {
        match self {
            Record::Change(change) => serde_json::to_vec(change),
            Record::Renewal { host, ttl_ms } => {
                serde_json::to_vec(&Other::Renewal { host: host.clone(), ttl_ms: *ttl_ms })
            }
            Record::Start(seq) => serde_json::to_vec(&Other::Start(*seq)),
            Record::Lease(lease) => serde_json::to_vec(&Other::Lease(lease.clone())),
            Record::Release(duty) => serde_json::to_vec(&Other::Release(duty.clone())),
        }
    }

    fn decode(payload: &[u8]) -> Option<Record> {
        if let Ok(change) = serde_json::from_slice(payload) {
            return Some(Record::Change(change));
        }
        Some(match serde_json::from_slice(payload).ok()? {
            Other::Renewal { host, ttl_ms } => Record::Renewal { host, ttl_ms },
            Other::Start(seq) => Record::Start(seq),
            Other::Lease(lease) => Record::Lease(lease),
            Other::Release(duty) => Record::Release(duty),
        })
    }
}

/// The whole state at one version: the snapshot's record.
#[derive(Serialize, Deserialize)]
struct Snapshot {
    seq: u64,
    horizon: u64,
    #[serde(default)]
    gaps: VecDeque<(u64, u64)>,
    #[serde(default)]
    token: u64,
    #[serde(default)]
    leases: Vec<Lease>,
    changes: Vec<Change>,
}

/// A list, or the changes to one, as a watch answers it.
#[derive(Serialize)]
pub struct Page<'a> {
    /// The version that the list is at.
    pub seq: u64,
    /// Whether this is the whole list.
    pub whole: bool,
    /// Its entries.
    pub hosts: Vec<&'a Entry>,
}

/// The entries, each at the version of its last change, and what has been deleted since the horizon.
pub struct State {
    /// The newest version.
    pub seq: u64,
    /// Changes after this version are all still known: a watch from an older one gets the whole list.
    pub horizon: u64,
    /// Versions between these were never given out in this history: a watch from there holds what was lost, or
    /// another history.
    gaps: VecDeque<(u64, u64)>,
    /// The highest fencing token that was granted, or a start above it.
    pub token: u64,
    /// Who holds which duty.
    pub leases: BTreeMap<String, Lease>,
    slots: HashMap<String, Change>,
    by_seq: BTreeMap<u64, String>,
    tombstones: BTreeSet<u64>,
    max_tombstones: usize,
}

impl State {
    fn new(max_tombstones: usize) -> State {
        State {
            seq: 0,
            horizon: 0,
            gaps: VecDeque::new(),
            token: 0,
            leases: BTreeMap::new(),
            slots: HashMap::new(),
            by_seq: BTreeMap::new(),
            tombstones: BTreeSet::new(),
            max_tombstones,
        }
    }

    /// The last change under a name, deleted or not.
    pub fn get(&self, host: &str) -> Option<&Change> {
        self.slots.get(host)
    }

    /// The entries that are not deleted, with their TTLs.
    pub fn renewable(&self) -> impl Iterator<Item = &Change> {
        self.slots.values().filter(|c| c.entry.health != Health::Deleted)
    }

    /// Entries that are not deleted.
    pub fn live(&self) -> usize {
        self.slots.len() - self.tombstones.len()
    }

    /// Takes a record in.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Change(change) => self.change(change),
            Record::Renewal { host, ttl_ms } => {
                if let Some(change) = self.slots.get_mut(&host) {
                    change.ttl_ms = ttl_ms;
                }
            }
            Record::Start(seq) => self.start(seq),
            Record::Lease(lease) => {
                self.token = self.token.max(lease.token);
                self.leases.insert(lease.duty.clone(), lease);
            }
            Record::Release(duty) => drop(self.leases.remove(&duty)),
        }
    }

    /// Versions go on from `seq`: none between the newest one and that was given out, or none that is still known.
    fn start(&mut self, seq: u64) {
        self.token = self.token.max(seq);
        if seq <= self.seq {
            return;
        }
        self.gaps.push_back((self.seq, seq));
        if self.gaps.len() > MAX_GAPS {
            let oldest = self.gaps.pop_front().map_or(0, |(_, end)| end);
            self.horizon = self.horizon.max(oldest);
        }
        self.seq = seq;
    }

    /// A change older than held is passed over, as when the log repeats what a snapshot holds.
    fn change(&mut self, change: Change) {
        if change.seq <= self.seq && self.seq > 0 {
            return;
        }
        self.seq = change.seq;
        if let Some(old) = self.slots.remove(&change.entry.host) {
            self.by_seq.remove(&old.seq);
            self.tombstones.remove(&old.seq);
        }
        if change.entry.health == Health::Deleted {
            self.tombstones.insert(change.seq);
        }
        self.by_seq.insert(change.seq, change.entry.host.clone());
        self.slots.insert(change.entry.host.clone(), change);
        // Tombstones are kept for deltas only; the oldest go first, and the horizon follows them.
        while self.tombstones.len() > self.max_tombstones {
            let Some(oldest) = self.tombstones.pop_first() else { break };
            if let Some(host) = self.by_seq.remove(&oldest) {
                self.slots.remove(&host);
            }
            self.horizon = self.horizon.max(oldest);
        }
    }

    /// The whole list.
    pub fn whole(&self) -> Page<'_> {
        let hosts = self.by_seq.values().map(|h| &self.slots[h].entry);
        Page { seq: self.seq, whole: true, hosts: hosts.filter(|e| e.health != Health::Deleted).collect() }
    }

    /// Whether all changes after a version are known: it is not too old, nor of another history.
    pub fn knows(&self, after: u64) -> bool {
        let lost = self.gaps.iter().any(|&(last, next)| last < after && after < next);
        after >= self.horizon && after <= self.seq && !lost
    }

    /// What changed after a version, or the whole list where that is not known.
    pub fn since(&self, after: u64) -> Page<'_> {
        if !self.knows(after) {
            return self.whole();
        }
        let hosts = self.by_seq.range(after + 1..).map(|(_, h)| &self.slots[h].entry).collect();
        Page { seq: self.seq, whole: false, hosts }
    }

    fn snapshot(&self) -> Snapshot {
        let changes = self.by_seq.values().map(|h| self.slots[h].clone()).collect();
        let (gaps, leases) = (self.gaps.clone(), self.leases.values().cloned().collect());
        Snapshot { seq: self.seq, horizon: self.horizon, gaps, token: self.token, leases, changes }
    }
}

/// When a write is on disk.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Sync {
    /// One `fsync` for all the writes that arrived together.
    Group,
    /// One `fsync` for every record: the baseline that group commit is measured against.
    Each,
}

/// The log on disk.
pub struct Log {
    dir: PathBuf,
    file: File,
    /// Bytes of whole records in the log.
    length: u64,
    /// Records written since the last snapshot.
    pub since_snapshot: u64,
    sync: Sync,
    /// Set when a failed write could not be taken back: records after it would be cut on the next start.
    broken: bool,
}

/// What a start found on disk.
pub struct Found {
    /// The version of the snapshot, if there was one.
    pub snapshot_seq: Option<u64>,
    /// Whole records read from the log.
    pub records: u64,
    /// Bytes cut from the log's end: a torn or spoilt last write.
    pub cut: u64,
}

fn frame(payload: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(payload.len() + 8);
    out.extend_from_slice(&u32::try_from(payload.len()).unwrap_or(u32::MAX).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    out.extend_from_slice(payload);
    out
}

/// The next whole record at the start of `bytes`, and its length with the frame.
fn unframe(bytes: &[u8], max: usize) -> Option<(&[u8], usize)> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let crc = u32::from_le_bytes(bytes.get(4..8)?.try_into().ok()?);
    if length > max {
        return None;
    }
    let payload = bytes.get(8..8 + length)?;
    (crc32fast::hash(payload) == crc).then_some((payload, 8 + length))
}

fn sync_dir(dir: &Path) -> io::Result<()> {
    File::open(dir)?.sync_all()
}

impl Log {
    /// Opens the data directory, or makes it, and reads the state from it. A torn tail is cut off the log.
    pub fn open(dir: &Path, sync: Sync, max_tombstones: usize) -> io::Result<(Log, State, Found)> {
        fs::create_dir_all(dir)?;
        let mut state = State::new(max_tombstones);
        let mut found = Found { snapshot_seq: None, records: 0, cut: 0 };
        match fs::read(dir.join("snapshot")) {
            Ok(bytes) => {
                let bad =
                    || io::Error::new(io::ErrorKind::InvalidData, "snapshot: checksum or length is wrong");
                let (payload, _) = unframe(&bytes, MAX_SNAPSHOT).ok_or_else(bad)?;
                let snapshot: Snapshot = serde_json::from_slice(payload).map_err(io::Error::other)?;
                for change in snapshot.changes {
                    state.change(change);
                }
                (state.seq, state.horizon, state.gaps) = (snapshot.seq, snapshot.horizon, snapshot.gaps);
                state.token = snapshot.token;
                state.leases = snapshot.leases.into_iter().map(|l| (l.duty.clone(), l)).collect();
                found.snapshot_seq = Some(snapshot.seq);
            }
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => return Err(e),
        }
        let path = dir.join("log");
        let mut file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let mut at = 0;
        while let Some((payload, used)) = unframe(&bytes[at..], MAX_RECORD) {
            let Some(record) = Record::decode(payload) else { break };
            state.apply(record);
            found.records += 1;
            at += used;
        }
        if at < bytes.len() {
            found.cut = (bytes.len() - at) as u64;
            file.set_len(at as u64)?;
            file.sync_all()?;
        }
        sync_dir(dir)?;
        let mut log = Log {
            dir: dir.to_path_buf(),
            file,
            length: at as u64,
            since_snapshot: found.records,
            sync,
            broken: false,
        };
        // Every start goes on at the time, in microseconds, so that versions lost with the cut, with an older copy
        // of the directory or with the directory itself lie in a gap and are not taken for this history's.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        let start = unix.max(state.seq.max(state.token) + 1 + found.cut / MIN_RECORD);
        log.append(&[Record::Start(start)])?;
        state.start(start);
        Ok((log, state, found))
    }

    /// Writes the records and makes them durable; on failure the log is put back as it was.
    pub fn append(&mut self, records: &[Record]) -> io::Result<()> {
        if self.broken {
            return Err(io::Error::other(
                "an earlier failed write could not be taken back; restart the registry",
            ));
        }
        let mut written = 0;
        let result = (|| {
            let mut batch = Vec::new();
            for record in records {
                let record = frame(&record.encode().map_err(io::Error::other)?);
                if self.sync == Sync::Each {
                    self.file.write_all(&record)?;
                    self.file.sync_data()?;
                    written += record.len() as u64;
                } else {
                    batch.extend_from_slice(&record);
                }
            }
            if !batch.is_empty() {
                self.file.write_all(&batch)?;
                self.file.sync_data()?;
                written += batch.len() as u64;
            }
            Ok(())
        })();
        match result {
            Ok(()) => {
                self.length += written;
                self.since_snapshot += records.len() as u64;
                Ok(())
            }
            Err(e) => {
                // What was written in part must not stand in front of the next record.
                self.broken = self.file.set_len(self.length).is_err();
                Err(e)
            }
        }
    }

    /// Writes the state as the snapshot and begins the log anew: compaction.
    pub fn compact(&mut self, state: &State) -> io::Result<u64> {
        let record = frame(&serde_json::to_vec(&state.snapshot()).map_err(io::Error::other)?);
        let temporary = self.dir.join("snapshot.tmp");
        let mut file = File::create(&temporary)?;
        file.write_all(&record)?;
        file.sync_all()?;
        fs::rename(&temporary, self.dir.join("snapshot"))?;
        sync_dir(&self.dir)?;
        // A crash before this line leaves records that the snapshot holds already; a start passes over them.
        self.file.set_len(0)?;
        self.file.sync_all()?;
        self.length = 0;
        self.since_snapshot = 0;
        Ok(record.len() as u64)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(host: &str, health: Health) -> Entry {
        let dial = Some("127.0.0.1:9".parse().expect("address"));
        Entry {
            host: host.into(),
            dial,
            site: "a".into(),
            class: String::new(),
            block: 0,
            health,
            share: 1.0,
            born_ms: 0.0,
        }
    }

    fn change(seq: u64, host: &str, health: Health) -> Record {
        Record::Change(Change { seq, entry: entry(host, health), ttl_ms: 1000 })
    }

    #[test]
    fn a_version_from_a_gap_between_two_starts_gets_the_whole_list() {
        let mut state = State::new(1);
        state.apply(change(1, "a", Health::Serving));
        for start in [10, 20] {
            state.apply(Record::Start(start));
            state.apply(Record::Start(start - 1));
            assert_eq!(state.seq, start, "a start never goes back");
        }
        state.apply(change(21, "b", Health::Serving));
        let whole: Vec<u64> = (0..23).filter(|&after| state.since(after).whole).collect();
        assert_eq!(whole, (2..10).chain(11..20).chain([22]).collect::<Vec<_>>());
        for start in 0..MAX_GAPS as u64 {
            state.apply(Record::Start(100 + start * 10));
        }
        assert_eq!((state.gaps.len(), state.horizon), (MAX_GAPS, 20), "old gaps go, the horizon follows");
        assert!(state.since(1).whole && !state.since(21).whole);
    }

    #[test]
    fn each_kind_of_record_is_read_as_it_was_written() {
        let renewal = Record::Renewal { host: "a".into(), ttl_ms: 7 };
        let lease = Lease { duty: "d".into(), holder: "a".into(), token: 5, ttl_ms: 100 };
        let others = [renewal, Record::Start(9), Record::Lease(lease), Record::Release("d".into())];
        for record in [change(3, "a", Health::Serving)].into_iter().chain(others) {
            let text = record.encode().expect("JSON");
            let again = Record::decode(&text).expect("a record").encode().expect("JSON");
            assert_eq!(text, again);
            assert!(text.len() as u64 + 8 >= MIN_RECORD || !matches!(record, Record::Change(_)));
        }
        let least = Change {
            seq: 1,
            entry: Entry { site: String::new(), dial: None, ..entry("a", Health::Deleted) },
            ttl_ms: 1,
        };
        assert!(Record::Change(least).encode().expect("JSON").len() as u64 + 8 >= MIN_RECORD);
        assert!(Record::decode(b"{}").is_none());
    }

    #[test]
    fn deltas_hold_what_changed_and_old_ones_get_the_whole_list() {
        let mut state = State::new(1);
        state.apply(change(1, "a", Health::Serving));
        state.apply(change(2, "b", Health::Serving));
        state.apply(change(3, "a", Health::Deleted));
        let delta = state.since(1);
        assert!(!delta.whole);
        assert_eq!(delta.hosts.iter().map(|e| e.host.as_str()).collect::<Vec<_>>(), ["b", "a"]);
        assert_eq!(state.whole().hosts.len(), 1);
        state.apply(change(4, "b", Health::Deleted));
        assert_eq!(state.horizon, 3, "the oldest tombstone went");
        assert!(state.since(2).whole, "a delta from before the horizon would miss a deletion");
        assert!(!state.since(3).whole);
        assert!(state.since(9).whole, "a version from another history");
    }
}
