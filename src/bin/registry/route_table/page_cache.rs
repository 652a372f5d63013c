//! A cache of encoded tables. After a change all proxies request the same few tables, and each is encoded once.

use bytes::Bytes;
use load_balancer::route_table::{Revision, Table, Weights};
use serde::Serialize;

/// Number of encoded tables that are kept: the one in force and the one that is being rolled out, each also as it was
/// before the last change.
const MAX_PAGES: usize = 4;

/// A table in the form that a proxy receives. The order of fields is that of the JSON keys.
#[derive(Serialize)]
struct TablePage<'a> {
    revision: Revision,
    weights: &'a Weights,
    digest: &'a str,
    newest: Revision,
}

/// An encoded table. Its key is its revision and the newest revision, which the body contains.
struct CachedPage {
    revision: Revision,
    newest: Revision,
    body: Bytes,
}

/// The most recently encoded tables, oldest first.
#[derive(Default)]
pub(super) struct PageCache(Vec<CachedPage>);

impl PageCache {
    /// Returns the table as JSON, with `newest` as the newest revision, and encodes it if it is not cached.
    pub(super) fn get(&mut self, table: &Table, newest: Revision) -> serde_json::Result<Bytes> {
        let Table { revision, weights, digest, .. } = table;
        let is_same = |page: &&CachedPage| page.revision == *revision && page.newest == newest;
        if let Some(page) = self.0.iter().find(is_same) {
            return Ok(page.body.clone());
        }
        let page = TablePage { revision: *revision, weights, digest, newest };
        let body = Bytes::from(serde_json::to_vec(&page)?);
        if self.0.len() >= MAX_PAGES {
            self.0.remove(0);
        }
        self.0.push(CachedPage { revision: *revision, newest, body: body.clone() });
        Ok(body)
    }
}
