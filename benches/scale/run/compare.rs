//! What a real proxy sends and receives beside what a hollow one of its service does, both counted on the wire.

use super::fleet::Fleet;
use super::traffic::{Count, Kind, Traffic};
use serde::Serialize;

/// Kinds that both have. Their backends' agents are the same program and not counted here.
const KINDS: [Kind; 4] = [Kind::WholeList, Kind::ListWatch, Kind::Table, Kind::Report];

/// One kind of message.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Compared {
    /// Which.
    pub of: Kind,
    /// The real proxy's.
    pub real: Count,
    /// The hollow one's.
    pub hollow: Count,
}

impl Compared {
    /// Messages of the hollow one over the real one's; none where there are none.
    pub fn messages(&self) -> Option<f64> {
        ratio(self.hollow.messages, self.real.messages)
    }

    /// Bytes of a message of the hollow one over those of the real one's.
    pub fn bytes_a_message(&self) -> Option<f64> {
        let (hollow, real) = (self.hollow, self.real);
        Some(ratio(hollow.bytes(), real.bytes())? / ratio(hollow.messages, real.messages)?)
    }
}

fn ratio(hollow: u64, real: u64) -> Option<f64> {
    (hollow > 0 && real > 0).then(|| hollow as f64 / real as f64)
}

/// What both have counted since an earlier look at the two meters.
pub fn compare(fleet: &Fleet, since: &(Traffic, Traffic)) -> Vec<Compared> {
    let Some((real, hollow)) = look(fleet) else { return Vec::new() };
    let (real, hollow) = (&real - &since.0, &hollow - &since.1);
    KINDS.map(|of| Compared { of, real: real.of(of), hollow: hollow.of(of) }).to_vec()
}

/// What the meters of the real and of the hollow one say now.
pub fn look(fleet: &Fleet) -> Option<(Traffic, Traffic)> {
    fleet.meters.as_ref().map(|(real, hollow)| (real.traffic(), hollow.traffic()))
}

/// The comparison as a table.
pub fn table(compared: &[Compared]) -> String {
    let mut text = String::from(
        "on the wire, one real and one hollow proxy: kind | messages | bytes | hollow over real\n",
    );
    let per_cent = |ratio: Option<f64>| ratio.map_or("-".into(), |r| format!("{:+.1} %", 100.0 * (r - 1.0)));
    for one in compared {
        text += &format!(
            "  {} | {} and {} | {} and {} | messages {}, bytes a message {}\n",
            one.of.name(),
            one.real.messages,
            one.hollow.messages,
            one.real.bytes(),
            one.hollow.bytes(),
            per_cent(one.messages()),
            per_cent(one.bytes_a_message()),
        );
    }
    text
}
