//! Wire protocol between the processes of a cluster: frames, their codec, and links with an
//! introduction (the `Hello`/`Welcome` handshake), heartbeats and TLS.

pub mod acceptor;
pub mod admission;
pub mod codec;
pub mod link;
pub mod proof;
pub mod tls;

/// Frames, generated from `proto/wire.proto`.
#[allow(clippy::pedantic, clippy::all, missing_docs)]
pub mod frames {
    include!("../gen/agatepin.wire.v1.rs");
}

mod convert;
mod introduction;
