//! Reads the bodies of calls, within limits on their length and on the time to receive them.

use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

use actix_web::rt::net::TcpStream;
use actix_web::{HttpRequest, web};
use bytes::Bytes;
use socket2::{SockRef, Socket};

use super::reply::ErrorReply;
use crate::settings::CallSettings;

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
/// The body is too long, does not arrive in time or is malformed. The read side of the connection
/// is then closed after a time in which the caller can send the rest.
pub async fn read(
    request: &HttpRequest,
    payload: web::Payload,
    settings: &CallSettings,
) -> Result<Bytes, ErrorReply> {
    let body = read_limited(payload, settings).await;
    if body.is_err()
        && let Some(closer) = request.conn_data::<ReadCloser>()
    {
        closer.close_later();
    }
    body
}

async fn read_limited(payload: web::Payload, settings: &CallSettings) -> Result<Bytes, ErrorReply> {
    let reading = payload.to_bytes_limited(settings.max_body_bytes);
    let Ok(outcome) = tokio::time::timeout(settings.body_timeout, reading).await else {
        return Err(ErrorReply::slow_body());
    };
    let Ok(body) = outcome else {
        return Err(ErrorReply::long_body(settings.max_body_bytes));
    };
    body.map_err(|err| ErrorReply::bad_request(format!("body: {err}")))
}
