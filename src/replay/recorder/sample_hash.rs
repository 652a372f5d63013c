//! Hash of a request's id, by which requests are sampled.

/// FNV-1a with a finalizer that mixes the low bits. It is the same in every process and build, so that all proxies sample
/// the same requests.
pub(super) fn sample_hash(bytes: &[u8]) -> u64 {
    let mix = bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, &b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    let mix = (mix ^ (mix >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    mix ^ (mix >> 32)
}
