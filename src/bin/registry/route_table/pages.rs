//! Tables as bytes, made once for all that are meant to have the same: after a change a whole fleet asks.

use bytes::Bytes;
use load_balancer::route_table::{Revision, Table, Weights};
use serde::Serialize;

/// Tables that are kept made into bytes: the one in force and the one that goes out, with one more each on a change.
const MAX_PAGES: usize = 4;
/// The table meant for a proxy.
#[derive(Serialize)]
struct Meant<'a> {
    revision: Revision,
    weights: &'a Weights,
    digest: &'a str,
    newest: Revision,
}

/// The tables made of late, each with its revision and the newest one that it tells of.
#[derive(Default)]
pub struct Pages(Vec<(Revision, Revision, Bytes)>);

impl Pages {
    /// The answer to whoever is meant to have a table.
    pub fn get(&mut self, table: &Table, newest: Revision) -> serde_json::Result<Bytes> {
        let Table { revision, weights, digest, .. } = table;
        if let Some((_, _, page)) = self.0.iter().find(|(r, n, _)| (*r, *n) == (*revision, newest)) {
            return Ok(page.clone());
        }
        let page = serde_json::to_vec(&Meant { revision: *revision, weights, digest, newest })?;
        let page = Bytes::from(page);
        if self.0.len() >= MAX_PAGES {
            self.0.remove(0);
        }
        self.0.push((*revision, newest, page.clone()));
        Ok(page)
    }
}
