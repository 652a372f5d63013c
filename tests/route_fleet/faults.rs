//! Faults that a test can inject into a proxy of the simulated fleet.

use super::*;

/// Injects a fault into the proxy with an index; [`repair`] ends it.
pub type Fault = fn(&mut Fleet, usize);

/// Stops the proxy's process.
pub fn stop_proxy(fleet: &mut Fleet, n: usize) {
    fleet.proxies[n].running = false;
}

/// Cuts the proxy off from the registry.
pub fn disconnect(fleet: &mut Fleet, n: usize) {
    fleet.proxies[n].connected = false;
}

/// Makes the proxy report a digest that is not that of its table.
pub fn report_wrong_digest(fleet: &mut Fleet, n: usize) {
    fleet.proxies[n].reported_digest = Some("0".repeat(16));
}

/// Makes the proxy distribute its calls evenly, whatever its weights.
pub fn ignore_weights(fleet: &mut Fleet, n: usize) {
    fleet.proxies[n].ignores_weights = true;
}

/// Returns the proxy to the initial table and stops it from applying newer ones.
pub fn revert_table(fleet: &mut Fleet, n: usize) {
    let table = Table { digest: Weights::default().digest(), ..Table::default() };
    let proxy = &mut fleet.proxies[n];
    (proxy.table, proxy.applies_tables) = (table, false);
}

/// Gives the proxy a revision that the registry never issued.
pub fn report_unissued_revision(fleet: &mut Fleet, n: usize) {
    fleet.proxies[n].table.revision += 7;
}

/// Ends all faults of the proxy and gives it the table in force.
pub fn repair(fleet: &mut Fleet, n: usize) {
    let (next_report_ms, table) = (fleet.now_ms + fleet.config.report_ms, fleet.control.in_force().clone());
    let proxy = fleet.proxies[n].clone();
    fleet.proxies[n] = Proxy {
        next_report_ms,
        table,
        running: true,
        connected: true,
        applies_tables: true,
        ignores_weights: false,
        reported_digest: None,
        ..proxy
    };
}
