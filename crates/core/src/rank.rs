//! Rendezvous hashing: all processes rank the same candidates for a key in the same order, without
//! communication.

/// Returns the score of `candidate` for `key`. Candidates for a key rank by descending score.
#[must_use]
pub fn score(key: &[u8], candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key);
    hasher.update(candidate.as_bytes());
    let hash = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Sorts `candidates` by descending score for `key`, and by name where scores are equal.
pub fn sort_by_rank<Candidate>(key: &[u8], candidates: &mut [Candidate])
where
    Candidate: AsRef<str>,
{
    candidates.sort_by_cached_key(|candidate| {
        let name = candidate.as_ref();
        (std::cmp::Reverse(score(key, name)), name.to_owned())
    });
}

/// Hashes a key or candidate, such as a name or digest, to a seed for [`score_seeds`].
#[must_use]
pub fn seed(key: &[u8]) -> u64 {
    score(key, "")
}

/// Returns the score of a candidate for a key from their seeds. This is far cheaper than [`score`]
/// where many keys each rank many candidates.
#[must_use]
pub fn score_seeds(key: u64, candidate: u64) -> u64 {
    let mut word = key.rotate_left(32) ^ candidate;
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
