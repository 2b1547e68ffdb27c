//! TCP relays between processes, which a scenario can cut or turn into a black hole.
//!
//! Each process finds the addresses of relays in its instance list, so only connections to a listed
//! address pass through one.

use std::net::SocketAddr;

use actix_web::rt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::Failure;

/// Maximum bytes that a relay reads before it writes them on.
const BUFFER_BYTES: usize = 16 * 1024;

/// How a relay treats connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Forwards all bytes.
    Pass,
    /// Keeps connections open and forwards nothing; accepts new ones without dialling the target.
    Blackhole,
    /// Forwards nothing on the connections that are open now, and keeps them open; new ones pass.
    BlackholeOpen,
    /// Closes all connections, also new ones.
    Cut,
}

/// A mode and its generation, the number of mode changes before it. The generation tells
/// connections accepted under an earlier mode from new ones.
#[derive(Clone, Copy)]
struct ModeVersion {
    mode: RelayMode,
    generation: u64,
}

/// The current mode as it applies to one connection.
#[derive(Clone)]
struct ConnectionMode {
    current: watch::Receiver<ModeVersion>,
    /// Generation of the mode in which the connection was accepted.
    accepted: u64,
}

/// A relay to one target address.
pub struct LinkRelay {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    current: watch::Sender<ModeVersion>,
}

impl LinkRelay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    ///
    /// The relay cannot listen on a local port.
    pub async fn start(target: SocketAddr, mode: RelayMode) -> Result<Self, Failure> {
        let bound = TcpListener::bind("127.0.0.1:0").await;
        let listener = bound.map_err(|err| err.to_string())?;
        let address = listener.local_addr().map_err(|err| err.to_string())?;
        let current = watch::Sender::new(ModeVersion {
            mode,
            generation: 0,
        });
        rt::spawn(accept_all(listener, target, current.subscribe()));
        Ok(Self { address, current })
    }

    /// Sets the mode, also of open connections.
    pub fn set(&self, mode: RelayMode) {
        self.current.send_modify(|version| {
            version.mode = mode;
            version.generation += 1;
        });
    }
}

/// Accepts connections until the relay is dropped.
async fn accept_all(
    listener: TcpListener,
    target: SocketAddr,
    current: watch::Receiver<ModeVersion>,
) {
    // No mode passes this check, so the wait ends only when the relay and with it the sender of the
    // mode are dropped.
    let mut closed = current.clone();
    loop {
        tokio::select! {
            _ = closed.wait_for(|_| false) => return,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    return;
                };
                let mode = ConnectionMode {
                    accepted: current.borrow().generation,
                    current: current.clone(),
                };
                rt::spawn(relay(stream, target, mode));
            }
        }
    }
}

async fn relay(client: TcpStream, target: SocketAddr, mode: ConnectionMode) {
    if !mode.clone().wait_passing().await {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        () = copy(client_read, server_write, mode.clone()) => {}
        () = copy(server_read, client_write, mode) => {}
    }
}

/// Forwards bytes until either end closes or the relay is cut.
async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut mode: ConnectionMode) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        if !mode.wait_passing().await {
            return;
        }
        let count = tokio::select! {
            _ = mode.current.changed() => continue,
            count = from.read(&mut buffer) => count.unwrap_or(0),
        };
        if !mode.wait_passing().await {
            return;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

impl ConnectionMode {
    /// Waits until bytes may pass; `false` once the relay is cut or dropped.
    async fn wait_passing(&mut self) -> bool {
        let accepted = self.accepted;
        let found = self
            .current
            .wait_for(|version| !version.is_blackhole(accepted))
            .await;
        found.is_ok_and(|version| version.mode != RelayMode::Cut)
    }
}

impl ModeVersion {
    /// Whether a connection accepted at the generation `accepted` forwards nothing.
    fn is_blackhole(&self, accepted: u64) -> bool {
        match self.mode {
            RelayMode::Blackhole => true,
            RelayMode::BlackholeOpen => accepted < self.generation,
            RelayMode::Pass | RelayMode::Cut => false,
        }
    }
}
