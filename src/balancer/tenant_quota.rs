//! Tenant quotas. Each tenant has a token bucket that is filled at this instance's share of the tenant's
//! quota and checked once for each request at the tier that clients reach. A request over its quota is not
//! rejected for that; it only gets a lower priority ([`Settings::over_quota_weight`]).

use super::Balancer;
#[cfg(doc)]
use crate::interface::Settings;

/// Minimum capacity of a bucket (requests), since an instance's share of a small quota may be less than one
/// request per second.
const MIN_BUCKET_REQUESTS: f64 = 2.0;

/// Token bucket of a tenant.
pub(super) struct TokenBucket {
    tokens: f64,
    filled_ms: f64,
}

impl TokenBucket {
    pub(super) fn full() -> Self {
        TokenBucket { tokens: f64::MAX, filled_ms: 0.0 }
    }

    /// Takes a token and returns whether one was available.
    fn take(&mut self, now_ms: f64, rate_per_s: f64) -> bool {
        let filled = self.tokens + rate_per_s * (now_ms - self.filled_ms) / 1000.0;
        let tokens = filled.min(rate_per_s.max(MIN_BUCKET_REQUESTS));
        let taken = tokens >= 1.0;
        self.tokens = if taken { tokens - 1.0 } else { tokens };
        self.filled_ms = now_ms;
        taken
    }
}

impl Balancer {
    /// Returns whether a request is over its tenant's quota, and takes a token if it is not.
    pub(super) fn takes_over_quota(&mut self, now_ms: f64, tenant: u16) -> bool {
        let tenant = usize::from(tenant);
        let Some(settings) = self.settings.tenants.get(tenant) else { return false };
        let rate_per_s = settings.quota_per_s / self.fleet_share.divisor;
        !self.tenant_buckets[tenant].take(now_ms, rate_per_s)
    }
}
