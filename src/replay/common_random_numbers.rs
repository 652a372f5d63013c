//! Common random numbers, a method of variance reduction: each draw of a simulation is a function of what it is for
//! (seed, request, attempt), so that replays of two route tables meet the same random numbers and differ only by their
//! tables.

/// The sequence of random numbers of one attempt of one request.
pub(super) struct CommonRandomNumbers {
    state: u64,
}

impl CommonRandomNumbers {
    /// The sequence that belongs to this attempt; the same one in each replay with that seed.
    pub(super) fn new(seed: u64, request: u64, attempt: u64) -> CommonRandomNumbers {
        let mut numbers = CommonRandomNumbers { state: seed };
        numbers.state = numbers.next_bits() ^ request;
        numbers.state = numbers.next_bits() ^ attempt;
        numbers
    }

    /// A number that is uniformly distributed in `[0, 1)`.
    pub(super) fn next_uniform(&mut self) -> f64 {
        (self.next_bits() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// The next 64 bits, by the generator SplitMix64 (Steele, Lea and Flood, 2014).
    fn next_bits(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let bits = (self.state ^ (self.state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }
}
