//! In-memory stand-ins of the platform services and the upstreams, for tests, benches and the demo.
//!
//! They speak the protocols of `docs/PROTOCOLS.md`, and tests can inject faults into them. Each
//! needs a running actix system. A test in the same process changes a stand-in with
//! [`StandinServer::control`](server::StandinServer::control) and reads it with
//! [`StandinServer::state`](server::StandinServer::state); other processes use
//! `POST /control/NAME` and `GET /control/state`.

pub mod engine;
pub mod instances;
pub mod origin;
mod pace;
pub mod server;
pub mod service;
mod sync;
pub mod table;
mod weights;

pub use engine::EngineStandin;
pub use instances::InstanceListStandin;
pub use origin::OriginStandin;
pub use service::ServiceStandin;
pub use table::TableStandin;
