//! Control messages by kind.

use load_balancer::client::traffic as client;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Sub;

/// Milliseconds of a bucket in which calls are counted for their rate.
pub const BUCKET_MS: u64 = 200;
/// Buckets that are kept.
const MAX_BUCKETS: usize = 3000;

/// What a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The whole list.
    WholeList,
    /// The list's changes, or none.
    ListWatch,
    /// The route table: the first, or its watch.
    Table,
    /// A report.
    Report,
    /// A registration or its renewal.
    Register,
    /// Anything else.
    Other,
}

impl Kind {
    /// By method and path.
    pub fn of(method: &str, path: &str) -> Kind {
        let (place, query) = path.split_once('?').unwrap_or((path, ""));
        let watches = query.split('&').any(|pair| pair.starts_with("after="));
        match (method, place) {
            ("GET", "/registry/instances") if watches => Kind::ListWatch,
            ("GET", "/registry/instances") => Kind::WholeList,
            ("PUT", "/registry/instances") => Kind::Register,
            ("GET", "/registry/routes") => Kind::Table,
            ("PUT", "/registry/reports") => Kind::Report,
            _ => Kind::Other,
        }
    }

    /// The client's own name for it.
    fn of_client(kind: client::TrafficKind) -> Kind {
        match kind {
            client::TrafficKind::FullList => Kind::WholeList,
            client::TrafficKind::ListWatch => Kind::ListWatch,
            client::TrafficKind::RouteWatch => Kind::Table,
            client::TrafficKind::Report => Kind::Report,
            client::TrafficKind::Registration => Kind::Register,
            client::TrafficKind::Datagram | client::TrafficKind::Trace => Kind::Other,
        }
    }

    /// Its name in the output.
    pub fn name(self) -> &'static str {
        match self {
            Kind::WholeList => "whole list",
            Kind::ListWatch => "list watch",
            Kind::Table => "table watch",
            Kind::Report => "report",
            Kind::Register => "registration",
            Kind::Other => "other",
        }
    }
}

/// Messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Calls, answered or not.
    pub messages: u64,
    /// Whole answers.
    pub answers: u64,
    /// Bytes of the calls, heads included.
    pub sent: u64,
    /// Bytes of the answers, heads included.
    pub received: u64,
}

impl Count {
    /// Bytes both ways.
    pub fn bytes(&self) -> u64 {
        self.sent + self.received
    }

    fn add(&mut self, other: Count) {
        self.messages += other.messages;
        self.answers += other.answers;
        self.sent += other.sent;
        self.received += other.received;
    }
}

/// Messages by kind, and how many ended when.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Traffic {
    /// By kind.
    pub kinds: BTreeMap<Kind, Count>,
    /// Calls by bucket of Unix time.
    pub buckets: BTreeMap<u64, u64>,
    /// Whole lists that came, also those that answer a watch.
    pub whole_lists: u64,
}

impl Traffic {
    /// What clients that count together have counted.
    pub fn of_clients(counted: &client::Traffic) -> Traffic {
        let mut traffic = Traffic::default();
        for kind in client::TrafficKind::ALL {
            let count = counted.count(kind);
            traffic.record(
                Kind::of_client(kind),
                Count {
                    messages: count.messages_sent,
                    answers: count.messages_received,
                    sent: count.bytes_sent,
                    received: count.bytes_received,
                },
            );
        }
        traffic
    }

    /// Messages of one kind.
    pub fn record(&mut self, kind: Kind, count: Count) {
        self.kinds.entry(kind).or_default().add(count);
    }

    /// So many calls more, at a Unix time in milliseconds.
    pub fn at(&mut self, now_ms: u64, calls: u64) {
        *self.buckets.entry(now_ms / BUCKET_MS).or_default() += calls;
        while self.buckets.len() > MAX_BUCKETS {
            self.buckets.pop_first();
        }
    }

    /// Adds what another counted.
    pub fn merge(&mut self, other: &Traffic) {
        for (kind, count) in &other.kinds {
            self.kinds.entry(*kind).or_default().add(*count);
        }
        self.whole_lists += other.whole_lists;
        for (bucket, calls) in &other.buckets {
            *self.buckets.entry(*bucket).or_default() += calls;
        }
    }

    /// The most calls a second, from a Unix time in milliseconds on.
    pub fn most_a_second(&self, from_ms: u64) -> f64 {
        let most = self.buckets.range(from_ms / BUCKET_MS..).map(|(_, calls)| *calls).max();
        most.unwrap_or_default() as f64 * 1000.0 / BUCKET_MS as f64
    }

    /// Of all kinds together.
    pub fn total(&self) -> Count {
        let mut total = Count::default();
        self.kinds.values().for_each(|count| total.add(*count));
        total
    }

    /// Of one kind.
    pub fn of(&self, kind: Kind) -> Count {
        self.kinds.get(&kind).copied().unwrap_or_default()
    }
}

impl Sub<&Traffic> for &Traffic {
    type Output = Traffic;

    /// What was counted since an earlier look.
    fn sub(self, earlier: &Traffic) -> Traffic {
        let mut since = self.clone();
        for (kind, count) in &mut since.kinds {
            let before = earlier.of(*kind);
            count.messages -= before.messages;
            count.answers -= before.answers;
            count.sent -= before.sent;
            count.received -= before.received;
        }
        since.whole_lists -= earlier.whole_lists;
        since
    }
}
