//! Proofs that both sides of a link hold the shared key: keyed BLAKE3 hashes of the `Hello`, sent
//! in the introduction (the `Hello`/`Welcome` handshake).

use super::frames::Hello;

/// Key of 32 bytes that all processes of a cluster share.
pub type SharedKey = [u8; 32];

/// Hashed before the `Hello` for the proof of the connecting side. It differs from
/// [`WELCOME_CONTEXT`], so that an accepting peer without the key cannot return the proof that it
/// received as its own.
const HELLO_CONTEXT: &[u8] = b"agatepin hello";
/// Hashed before the `Hello` for the proof of the accepting side.
const WELCOME_CONTEXT: &[u8] = b"agatepin welcome";

/// Derives the shared key from `text`, the setting `link.shared_key`.
#[must_use]
pub fn derive_key(text: &str) -> SharedKey {
    blake3::derive_key("agatepin shared key v1", text.as_bytes())
}

/// Computes the proof of the connecting side over all fields of `hello` except `proof`.
#[must_use]
pub fn prove_hello(key: &SharedKey, hello: &Hello) -> Vec<u8> {
    prove(key, HELLO_CONTEXT, hello)
}

/// Computes the proof with which the accepting side answers `hello`, over the same fields.
#[must_use]
pub fn prove_welcome(key: &SharedKey, hello: &Hello) -> Vec<u8> {
    prove(key, WELCOME_CONTEXT, hello)
}

/// Compares two proofs in constant time; `false` unless both have 32 bytes.
#[must_use]
pub fn proofs_match(expected: &[u8], given: &[u8]) -> bool {
    let Ok(expected) = <[u8; 32]>::try_from(expected) else {
        return false;
    };
    let Ok(given) = <[u8; 32]>::try_from(given) else {
        return false;
    };
    blake3::Hash::from_bytes(expected) == blake3::Hash::from_bytes(given)
}

fn prove(key: &SharedKey, context: &[u8], hello: &Hello) -> Vec<u8> {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(context);
    for number in [
        u64::from(hello.protocol),
        u64::from(hello.purpose.unsigned_abs()),
        u64::from(hello.role.unsigned_abs()),
        hello.incarnation,
        hello.session,
    ] {
        hasher.update(&number.to_le_bytes());
    }
    for text in [
        hello.instance.as_bytes(),
        hello.data_centre.as_bytes(),
        &hello.nonce,
    ] {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text);
    }
    hasher.finalize().as_bytes().to_vec()
}
