//! Tests of the configuration: commits to the table, distribution between processes, the operator
//! RPC service and the platform clients.

#[path = "../support/certificates.rs"]
mod certificates;
mod operator;
mod spread;
mod store;
mod table;
