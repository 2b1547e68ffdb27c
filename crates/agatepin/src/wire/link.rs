//! Connections between our processes: introduction, heartbeats and framing.
//!
//! A link closes when the peer goes silent, when a frame is malformed, or when either half is
//! dropped. Whoever reads [`LinkReceiver`] must not wait long between two frames: the reader task
//! holds back the peer's heartbeats when its queue is full.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use agatepin_core::heartbeat::{HeartbeatAction, HeartbeatMonitor, HeartbeatPolicy};
use agatepin_core::ids::{DataCentreId, IncarnationId, InstanceId, SessionId};
use agatepin_core::value_type;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio_util::codec::Framed;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::admission::{LinkAdmission, LinkPlace};
use super::codec::{FrameCodec, TrafficCounts, TrafficMeter};
use super::frames::{Heartbeat, LinkPurpose, ProcessRole, frame::Body};
use super::introduction::{introduce, welcome};
use super::proof::SharedKey;
use super::tls::LinkTls;

/// Version of the protocol in `proto/wire.proto`.
pub const PROTOCOL_VERSION: u32 = 1;

/// Links of each purpose that others may hold open, unless the settings say another number.
pub const DEFAULT_MAX_LINKS: usize = 4096;
/// Peers that may introduce themselves at once, unless the settings say another number.
pub const DEFAULT_MAX_INTRODUCTIONS: usize = 256;

const QUEUE_FRAMES: usize = 1024;
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
/// Heartbeats of [`LinkSender::settle`] are numbered from here, above those of the ticks.
const SETTLE_BASE: u64 = 1 << 62;

value_type! {
    /// Who a process is, as it says to its peers.
    pub struct ProcessIdentity {
        /// Entry or agent.
        pub role: ProcessRole,
        /// Name from the settings.
        pub instance: InstanceId,
        /// Drawn at the start.
        pub incarnation: IncarnationId,
        /// Data centre from the settings.
        pub data_centre: DataCentreId,
    }
}

/// How links behave.
#[derive(Clone, Debug)]
pub struct LinkPolicy {
    /// Time for connecting, the TLS handshake and the introduction together.
    pub connect_timeout: Duration,
    /// Heartbeats.
    pub heartbeat: HeartbeatPolicy,
    /// Key that both sides must hold.
    pub shared_key: Option<SharedKey>,
    /// TLS; links without it are plain.
    pub tls: Option<LinkTls>,
    /// Links of each purpose that others may hold open to this process.
    pub max_links: usize,
    /// Peers that may introduce themselves at once.
    pub max_introductions: usize,
}

impl Default for LinkPolicy {
    /// Plain links.
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            heartbeat: HeartbeatPolicy {
                interval: Duration::from_millis(500),
                misses: 2,
            },
            shared_key: None,
            tls: None,
            max_links: DEFAULT_MAX_LINKS,
            max_introductions: DEFAULT_MAX_INTRODUCTIONS,
        }
    }
}

/// Why a link was not made.
#[derive(Debug)]
pub enum LinkError {
    /// The socket failed.
    Io(std::io::Error),
    /// The time for the introduction ran out.
    Timeout,
    /// The peer closed, or sent another frame than the introduction.
    Introduction(String),
    /// The peer refused.
    Rejected(String),
    /// The peer does not hold the shared key.
    Proof,
    /// The TLS handshake failed, or the peer's certificate is not accepted.
    Tls(std::io::Error),
    /// All places for links of this purpose are taken.
    TooMany(LinkPurpose),
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(err) => write!(f, "link failed: {err}"),
            Self::Timeout => f.write_str("peer did not introduce itself in time"),
            Self::Introduction(what) => write!(f, "introduction failed: {what}"),
            Self::Rejected(message) => write!(f, "peer refused the link: {message}"),
            Self::Proof => f.write_str("peer does not hold the shared key"),
            Self::Tls(err) => write!(f, "TLS handshake failed: {err}"),
            Self::TooMany(purpose) => {
                let purpose = purpose.as_str_name();
                write!(f, "too many links are open for {purpose}")
            }
        }
    }
}

impl std::error::Error for LinkError {}

impl LinkError {
    /// Name of the kind of error, for metrics.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Io(_) => "io",
            Self::Timeout => "timeout",
            Self::Introduction(_) => "introduction",
            Self::Rejected(_) => "rejected",
            Self::Proof => "key",
            Self::Tls(_) => "tls",
            Self::TooMany(_) => "too-many",
        }
    }
}

impl From<std::io::Error> for LinkError {
    fn from(err: std::io::Error) -> Self {
        Self::Io(err)
    }
}

/// Sends frames on a link; clones share the link.
#[derive(Clone, Debug)]
pub struct LinkSender {
    queue: mpsc::Sender<Body>,
    closed: CancellationToken,
    /// Number of the peer's latest reply to a heartbeat of [`LinkSender::settle`].
    settled: watch::Sender<u64>,
    settles: Arc<AtomicU64>,
    meter: TrafficMeter,
}

/// The link has closed; the frame may or may not have been delivered.
#[derive(Debug, PartialEq, Eq)]
pub struct LinkClosed;

impl LinkSender {
    /// Queues a frame, waiting while the queue is full.
    ///
    /// # Errors
    /// The link has closed.
    pub async fn send(&self, body: Body) -> Result<(), LinkClosed> {
        tokio::select! {
            () = self.closed.cancelled() => Err(LinkClosed),
            sent = self.queue.send(body) => sent.map_err(|_| LinkClosed),
        }
    }

    /// Queues a frame if there is room.
    ///
    /// # Errors
    /// The link has closed or its queue is full.
    pub fn try_send(&self, body: Body) -> Result<(), LinkClosed> {
        if self.closed.is_cancelled() {
            return Err(LinkClosed);
        }
        self.queue.try_send(body).map_err(|_| LinkClosed)
    }

    /// Waits until the peer has received every frame that was queued before.
    ///
    /// # Errors
    /// The link has closed first.
    pub async fn wait_delivered(&self) -> Result<(), LinkClosed> {
        let number = SETTLE_BASE + self.settles.fetch_add(1, Ordering::Relaxed);
        let mut settled = self.settled.subscribe();
        let reply = false;
        self.send(Body::Heartbeat(Heartbeat { number, reply }))
            .await?;
        tokio::select! {
            () = self.closed.cancelled() => Err(LinkClosed),
            reached = settled.wait_for(|latest| *latest >= number) => {
                reached.map(|_| ()).map_err(|_| LinkClosed)
            }
        }
    }

    fn note_reply(&self, number: u64) {
        if number >= SETTLE_BASE {
            self.settled.send_replace(number);
        }
    }

    /// What has passed the link so far.
    #[must_use]
    pub fn traffic(&self) -> TrafficCounts {
        self.meter.counts()
    }

    /// Closes the link.
    pub fn close(&self) {
        self.closed.cancel();
    }

    /// Whether the link has closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    /// Completes when the link has closed.
    pub async fn closed(&self) {
        self.closed.cancelled().await;
    }
}

/// Receives the frames of a link other than heartbeats. Dropping it closes the link.
#[derive(Debug)]
pub struct LinkReceiver {
    frames: mpsc::Receiver<Body>,
    _closer: DropGuard,
    _place: Option<LinkPlace>,
}

impl LinkReceiver {
    /// The next frame; `None` once the link has closed.
    pub async fn recv(&mut self) -> Option<Body> {
        self.frames.recv().await
    }
}

/// An open link.
#[derive(Debug)]
pub struct PeerLink {
    /// Who the other side is.
    pub peer: ProcessIdentity,
    /// What the link is for.
    pub purpose: LinkPurpose,
    /// Session number of the side that connected.
    pub session: SessionId,
    /// Sending half.
    pub sender: LinkSender,
    /// Receiving half.
    pub receiver: LinkReceiver,
}

/// Opens a link to `address`.
///
/// # Errors
/// The peer cannot be reached, refuses, or does not hold the key.
pub async fn connect(
    address: SocketAddr,
    identity: &ProcessIdentity,
    purpose: LinkPurpose,
    session: SessionId,
    policy: &LinkPolicy,
) -> Result<PeerLink, LinkError> {
    let opening = async {
        let stream = TcpStream::connect(address).await?;
        prepare_socket(&stream, policy)?;
        let Some(tls) = &policy.tls else {
            return introduce(stream, identity, purpose, session, policy).await;
        };
        let stream = tls.connect(stream).await?;
        introduce(stream, identity, purpose, session, policy).await
    };
    within(policy.connect_timeout, opening).await
}

/// Answers the introduction on a connection that was accepted.
///
/// # Errors
/// The peer does not introduce itself, speaks another protocol, or does not hold the key.
pub async fn accept(
    stream: TcpStream,
    identity: &ProcessIdentity,
    policy: &LinkPolicy,
) -> Result<PeerLink, LinkError> {
    let admission = LinkAdmission::new(policy);
    accept_admitted(stream, identity, policy, &admission).await
}

/// As [`accept`], where a place of `admission` is free.
///
/// # Errors
/// As [`accept`], or no place is free.
pub async fn accept_admitted(
    stream: TcpStream,
    identity: &ProcessIdentity,
    policy: &LinkPolicy,
    admission: &LinkAdmission,
) -> Result<PeerLink, LinkError> {
    prepare_socket(&stream, policy)?;
    let opening = async {
        let Some(tls) = &policy.tls else {
            return welcome(stream, identity, policy, admission).await;
        };
        let stream = tls.accept(stream).await?;
        welcome(stream, identity, policy, admission).await
    };
    within(policy.connect_timeout, opening).await
}

/// Sets `TCP_NODELAY`, keep-alive and the user timeout.
fn prepare_socket(stream: &TcpStream, policy: &LinkPolicy) -> Result<(), LinkError> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE);
    socket.set_tcp_keepalive(&keepalive)?;
    let silence = policy.heartbeat.interval * (policy.heartbeat.misses + 1);
    socket.set_tcp_user_timeout(Some(silence))?;
    Ok(())
}

async fn within<Opening>(timeout: Duration, opening: Opening) -> Result<PeerLink, LinkError>
where
    Opening: Future<Output = Result<PeerLink, LinkError>>,
{
    tokio::time::timeout(timeout, opening)
        .await
        .unwrap_or(Err(LinkError::Timeout))
}

pub(super) fn run<Stream>(
    framed: Framed<Stream, FrameCodec>,
    peer: ProcessIdentity,
    purpose: LinkPurpose,
    session: SessionId,
    heartbeat: HeartbeatPolicy,
    place: Option<LinkPlace>,
) -> PeerLink
where
    Stream: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let meter = framed.codec().meter().clone();
    let (sink, stream) = framed.split();
    let closed = CancellationToken::new();
    let (out_tx, out_rx) = mpsc::channel(QUEUE_FRAMES);
    let (in_tx, in_rx) = mpsc::channel(QUEUE_FRAMES);
    tokio::spawn(write_frames(sink, out_rx, closed.clone()));
    let sender = LinkSender {
        queue: out_tx,
        closed: closed.clone(),
        settled: watch::Sender::new(0),
        settles: Arc::default(),
        meter,
    };
    tokio::spawn(read_frames(stream, in_tx, sender.clone(), heartbeat));
    PeerLink {
        peer,
        purpose,
        session,
        sender,
        receiver: LinkReceiver {
            frames: in_rx,
            _closer: closed.drop_guard(),
            _place: place,
        },
    }
}

async fn write_frames<Stream>(
    mut sink: SplitSink<Framed<Stream, FrameCodec>, Body>,
    mut queue: mpsc::Receiver<Body>,
    closed: CancellationToken,
) where
    Stream: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let writing = async {
        while let Some(body) = queue.recv().await {
            if sink.feed(body).await.is_err() {
                return;
            }
            if queue.is_empty() && sink.flush().await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = closed.cancelled() => (),
        () = writing => (),
    }
    closed.cancel();
}

async fn read_frames<Stream>(
    mut stream: SplitStream<Framed<Stream, FrameCodec>>,
    frames: mpsc::Sender<Body>,
    sender: LinkSender,
    policy: HeartbeatPolicy,
) where
    Stream: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let mut monitor = HeartbeatMonitor::new(policy, Instant::now());
    let mut ticks = tokio::time::interval(policy.interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let received = tokio::select! {
            biased;
            () = sender.closed() => break,
            received = stream.next() => received,
            _ = ticks.tick() => {
                match monitor.tick(Instant::now()) {
                    HeartbeatAction::Close => break,
                    HeartbeatAction::Send(number) => {
                        // A full queue means that frames are on their way, so we can skip one.
                        let _ = sender.try_send(Body::Heartbeat(Heartbeat { number, reply: false }));
                    }
                }
                continue;
            }
        };
        let Some(Ok(body)) = received else {
            break;
        };
        monitor.record_frame(Instant::now());
        match body {
            Body::Heartbeat(Heartbeat {
                number,
                reply: false,
            }) => {
                let _ = sender.try_send(Body::Heartbeat(Heartbeat {
                    number,
                    reply: true,
                }));
            }
            Body::Heartbeat(Heartbeat { number, .. }) => sender.note_reply(number),
            body => {
                if frames.send(body).await.is_err() {
                    break;
                }
            }
        }
    }
    sender.close();
}
