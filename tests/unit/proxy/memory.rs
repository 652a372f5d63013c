//! Unit tests of `src/bin/proxy/memory.rs`, which names this file.

use super::*;

/// What the plan allows fits into the memory, with both processes of an upgrade.
#[test]
fn what_is_planned_fits_into_the_memory_of_every_deployment() {
    for memory_mb in 32..=2048 {
        for may_replace in [false, true] {
            let memory_bytes = memory_mb << 20;
            let plan = MemoryPlan::new(memory_bytes, may_replace, 520);
            let buffers = 2 * plan.http_buffer_bytes;
            let planned = BASE_BYTES
                + 520 * WAITING_BYTES
                + plan.client_connections * (CLIENT_BYTES + buffers)
                + plan.backend_connections * (BACKEND_BYTES + buffers)
                + plan.body_bytes;
            let processes = if may_replace { 2 } else { 1 };
            assert!(planned * processes <= memory_bytes, "{memory_mb} MB: {plan:?}");
            assert!(
                plan.backend_connections >= 50 && plan.client_connections >= 100,
                "{memory_mb} MB: {plan:?}"
            );
        }
    }
}
