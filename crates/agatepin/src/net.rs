//! Listening sockets of the daemons.

use std::net::{SocketAddr, TcpListener};

use eyre::{Result, WrapErr};

/// Binds a non-blocking listening socket. `purpose` only describes the socket in errors.
///
/// # Errors
/// The address is in use or does not belong to this host; the error names address and purpose.
pub fn bind(address: SocketAddr, purpose: &str) -> Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .wrap_err_with(|| format!("cannot listen on {address} for {purpose}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
