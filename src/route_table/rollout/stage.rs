//! Which proxies a stage is for: a fixed order of all proxy names, and how many of them each stage takes.

use super::super::Stage;
use sha2::{Digest, Sha256};

/// A proxy's position in every rollout, lowest first: the first 8 bytes of the SHA-256 of its name, so that
/// every registry computes the same order, also after a restart.
pub fn proxy_rank(name: &str) -> u64 {
    let hash = Sha256::digest(name);
    hash.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// How many of `live` proxies a stage is for. No stage is for fewer than `first_stage_proxies`, as far as so
/// many are live.
pub fn stage_size(stage: Stage, live: usize, first_stage_proxies: usize) -> usize {
    let least = first_stage_proxies.min(live);
    match stage {
        Stage::Few => least,
        Stage::Tenth => least.max(live.div_ceil(10)),
        Stage::Half => least.max(live.div_ceil(2)),
        Stage::All => live,
    }
}
