//! Reads the bodies of calls, within limits on their length and on the time to receive them.

use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

use actix_web::rt::net::TcpStream;
use actix_web::{HttpRequest, web};
use agatepin_core::relay::byte_budget::grown_capacity;
use bytes::Bytes;
use futures_util::StreamExt;
use socket2::{SockRef, Socket};

use super::calls::EntryShared;
use super::reply::ErrorReply;
use crate::relay::body_budget::BytePermit;

/// Time for which the rest of a refused body is read and discarded. Closing the connection with
/// unread input would reset it, and the caller may then lose the reply.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Shuts down the read side of a caller's connection. Without this, actix would wait indefinitely
/// for the rest of a chunked body, even after the reply has been sent.
#[derive(Debug)]
pub struct ReadCloser(Arc<Socket>);

impl ReadCloser {
    /// Duplicates the socket of `stream`; returns `None` if the process has too many open files.
    #[must_use]
    pub fn new(stream: &TcpStream) -> Option<Self> {
        let socket = SockRef::from(stream).try_clone().ok()?;
        Some(Self(Arc::new(socket)))
    }

    /// Shuts down after [`DISCARD_TIME`], unless the connection ends sooner.
    fn close_later(&self) {
        let socket = Arc::downgrade(&self.0);
        actix_web::rt::spawn(async move {
            tokio::time::sleep(DISCARD_TIME).await;
            let Some(socket) = socket.upgrade() else {
                return;
            };
            // An error means that the caller has already closed the connection.
            let _ = socket.shutdown(Shutdown::Read);
        });
    }
}

/// Reads the complete body of a call.
///
/// # Errors
/// The body is too long, does not arrive in time or is malformed, or there is no memory for it. The read side of the connection
/// is then closed after a time in which the caller can send the rest.
pub async fn read(
    request: &HttpRequest,
    payload: web::Payload,
    shared: &EntryShared,
) -> Result<Bytes, ErrorReply> {
    let body = read_limited(payload, shared).await;
    if body.is_err()
        && let Some(closer) = request.conn_data::<ReadCloser>()
    {
        closer.close_later();
    }
    body
}

async fn read_limited(payload: web::Payload, shared: &EntryShared) -> Result<Bytes, ErrorReply> {
    let settings = &shared.settings;
    let permit = shared.bodies.open();
    let collecting = collect(payload, settings.max_body_bytes, &permit);
    let collected = tokio::select! {
        biased;
        () = permit.refused() => Err(ErrorReply::no_memory()),
        collected = tokio::time::timeout(settings.body_timeout, collecting) => {
            collected.unwrap_or_else(|_| Err(ErrorReply::slow_body()))
        }
    };
    let bytes = collected?;
    permit.keep();
    Ok(permit.attach(bytes))
}

/// Copies a body of at most `most` bytes into one buffer, whose bytes are counted in `permit`.
async fn collect(
    mut payload: web::Payload,
    most: usize,
    permit: &BytePermit,
) -> Result<Vec<u8>, ErrorReply> {
    let mut data = Vec::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|err| ErrorReply::bad_request(format!("body: {err}")))?;
        let length = data.len() + part.len();
        if length > most {
            return Err(ErrorReply::long_body(most));
        }
        if length > data.capacity() {
            let capacity = grown_capacity(data.capacity(), length, most);
            let reserved = permit.reserve(capacity).await;
            reserved.map_err(|_| ErrorReply::no_memory())?;
            data.reserve_exact(capacity - data.len());
        }
        data.extend_from_slice(&part);
        permit.record_arrival(part.len());
    }
    Ok(data)
}
