//! RPC types of the operator API, generated from `proto/operator.proto`, and their conversions.

pub mod convert;

#[allow(clippy::pedantic, clippy::all, missing_docs)]
mod generated {
    include!("../gen/agatepin.operator.v1.rs");
}

pub use generated::*;
