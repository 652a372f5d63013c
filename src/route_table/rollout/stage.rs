//! The proxies of each stage: a fixed order of all proxy names, and the number of them in each stage.

use super::super::Stage;
use sha2::{Digest, Sha256};

/// Rank of a proxy in every rollout, lowest first: the first 8 bytes of the SHA-256 of its name, so that
/// every registry computes the same order, also after a restart.
pub fn proxy_rank(name: &str) -> u64 {
    let hash = Sha256::digest(name);
    hash.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// Number of members of a stage, out of `live` proxies. No stage has fewer than `first_stage_proxies`, unless
/// fewer are live.
pub fn stage_size(stage: Stage, live: usize, first_stage_proxies: usize) -> usize {
    let min_size = first_stage_proxies.min(live);
    match stage {
        Stage::Few => min_size,
        Stage::Tenth => min_size.max(live.div_ceil(10)),
        Stage::Half => min_size.max(live.div_ceil(2)),
        Stage::All => live,
    }
}
