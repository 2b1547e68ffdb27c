//! Introduction on a new link, the handshake of the wire protocol. The two sides exchange their
//! identities and the purpose of the link, and prove that they hold the shared key.
//!
//! The connecting side sends `Hello`; the accepting side answers with `Welcome` or `Rejected`.

use std::io::{self, ErrorKind};

use agatepin_core::ids::SessionId;
use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::Framed;

use super::admission::LinkAdmission;
use super::codec::FrameCodec;
use super::frames::{Hello, LinkPurpose, ProcessRole, Rejected, Welcome, frame::Body};
use super::link::{LinkError, LinkPolicy, PROTOCOL_VERSION, PeerLink, ProcessIdentity, start};
use super::proof;

/// Size of the random nonce in `Hello`, which makes each proof different.
const NONCE_BYTES: usize = 16;

/// Introduces this process on `stream`, which it has connected, and starts the link.
///
/// # Errors
/// The connection fails, or the peer does not answer with `Welcome` or does not hold the shared key.
pub(super) async fn introduce<Stream>(
    stream: Stream,
    identity: &ProcessIdentity,
    purpose: LinkPurpose,
    session: SessionId,
    policy: &LinkPolicy,
) -> Result<PeerLink, LinkError>
where
    Stream: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let mut framed = Framed::new(stream, FrameCodec::introduction());
    let mut hello = Hello {
        protocol: PROTOCOL_VERSION,
        purpose: purpose.into(),
        role: identity.role.into(),
        instance: identity.instance.clone(),
        incarnation: identity.incarnation,
        session,
        data_centre: identity.data_centre.clone(),
        nonce: rand::random::<[u8; NONCE_BYTES]>().to_vec().into(),
        proof: bytes::Bytes::new(),
    };
    if let Some(key) = &policy.shared_key {
        hello.proof = proof::prove_hello(key, &hello).into();
    }
    framed.send(Body::Hello(hello.clone())).await?;
    let reply = match framed.next().await.transpose().map_err(read_error)? {
        Some(Body::Welcome(reply)) => reply,
        Some(Body::Rejected(rejected)) => return Err(LinkError::Rejected(rejected.message)),
        Some(_) => return Err(LinkError::Introduction("peer sent no Welcome".into())),
        None => return Err(LinkError::Introduction("peer closed the connection".into())),
    };
    if let Some(key) = &policy.shared_key
        && !proof::proofs_match(&proof::prove_welcome(key, &hello), &reply.proof)
    {
        return Err(LinkError::Proof);
    }
    let peer = ProcessIdentity {
        role: reply.role(),
        instance: reply.instance,
        incarnation: reply.incarnation,
        data_centre: reply.data_centre,
    };
    framed.codec_mut().end_introduction();
    Ok(start(
        framed,
        peer,
        purpose,
        session,
        policy.heartbeat,
        None,
    ))
}

/// Answers the introduction of the peer that connected `stream`, and starts the link. The link
/// holds a permit of `admission` until its receiver is dropped.
///
/// # Errors
/// The peer sends no valid `Hello` or does not hold the shared key, or `admission` has no permit
/// for the purpose of the link. The peer receives `Rejected` unless it sent no `Hello` at all.
pub(super) async fn answer_introduction<Stream>(
    stream: Stream,
    identity: &ProcessIdentity,
    policy: &LinkPolicy,
    admission: &LinkAdmission,
) -> Result<PeerLink, LinkError>
where
    Stream: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let mut framed = Framed::new(stream, FrameCodec::introduction());
    let hello = match framed.next().await.transpose().map_err(read_error)? {
        Some(Body::Hello(hello)) => hello,
        Some(_) => return Err(LinkError::Introduction("peer sent no Hello".into())),
        None => return Err(LinkError::Introduction("peer closed the connection".into())),
    };
    let checked = check_hello(&hello, policy);
    let permit = match checked.and_then(|()| admission.admit(hello.purpose())) {
        Ok(permit) => permit,
        Err(err) => {
            let message = err.to_string();
            framed.send(Body::Rejected(Rejected { message })).await?;
            return Err(err);
        }
    };
    let proof = match &policy.shared_key {
        Some(key) => proof::prove_welcome(key, &hello).into(),
        None => bytes::Bytes::new(),
    };
    let reply = Welcome {
        protocol: PROTOCOL_VERSION,
        role: identity.role.into(),
        instance: identity.instance.clone(),
        incarnation: identity.incarnation,
        data_centre: identity.data_centre.clone(),
        proof,
    };
    framed.send(Body::Welcome(reply)).await?;
    let purpose = hello.purpose();
    let peer = ProcessIdentity {
        role: hello.role(),
        instance: hello.instance,
        incarnation: hello.incarnation,
        data_centre: hello.data_centre,
    };
    framed.codec_mut().end_introduction();
    let (session, heartbeat) = (hello.session, policy.heartbeat);
    Ok(start(
        framed,
        peer,
        purpose,
        session,
        heartbeat,
        Some(permit),
    ))
}

/// Checks the protocol version, the purpose and role, and the proof of the shared key.
fn check_hello(hello: &Hello, policy: &LinkPolicy) -> Result<(), LinkError> {
    if hello.protocol != PROTOCOL_VERSION {
        let message = format!(
            "protocol {} is not spoken here, {PROTOCOL_VERSION} is",
            hello.protocol
        );
        return Err(LinkError::Introduction(message));
    }
    if hello.purpose() == LinkPurpose::Unspecified || hello.role() == ProcessRole::Unspecified {
        return Err(LinkError::Introduction("unknown purpose or role".into()));
    }
    let Some(key) = &policy.shared_key else {
        return Ok(());
    };
    if proof::proofs_match(&proof::prove_hello(key, hello), &hello.proof) {
        return Ok(());
    }
    Err(LinkError::Proof)
}

/// Converts an error in reading the first frame. Bytes that are no frame mean that the peer speaks
/// another protocol, or that only one side uses TLS.
fn read_error(err: io::Error) -> LinkError {
    if matches!(err.get_ref(), Some(cause) if cause.is::<rustls::Error>()) {
        return LinkError::Tls(err);
    }
    match err.kind() {
        ErrorKind::InvalidData | ErrorKind::Other => {
            let message = format!("peer speaks another protocol, or TLS on one side only: {err}");
            LinkError::Introduction(message)
        }
        _ => LinkError::Io(err),
    }
}
