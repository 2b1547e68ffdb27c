//! Links: framed connections between processes, which begin with an introduction (the
//! `Hello`/`Welcome` handshake) and are supervised by heartbeats.
//!
//! A link closes when no frame has arrived for too long, when a frame is malformed, when the
//! [`LinkReceiver`] is dropped or when either process closes it. Read the [`LinkReceiver`] without
//! long pauses: while its queue is full, the reader task handles no heartbeats either.

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

use super::admission::{LinkAdmission, LinkPermit};
use super::codec::{FrameCodec, TrafficCounts, TrafficMeter};
use super::frames::{Heartbeat, LinkPurpose, ProcessRole, frame::Body};
use super::introduction::{answer_introduction, introduce};
use super::proof::SharedKey;
use super::tls::LinkTls;

/// Version of the protocol in `proto/wire.proto`. Links of peers that state another version are
/// refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// Default of [`LinkPolicy::max_links`].
pub const DEFAULT_MAX_LINKS: usize = 4096;
/// Default of [`LinkPolicy::max_introductions`].
pub const DEFAULT_MAX_INTRODUCTIONS: usize = 256;

/// Capacity of the send queue of a link, and of its receive queue, in frames.
const QUEUE_FRAMES: usize = 1024;
/// Time without traffic after which TCP sends keep-alive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
/// Lowest number of the heartbeats that [`LinkSender::wait_delivered`] sends, above the numbers of
/// the periodic heartbeats, so that a reply shows which kind of heartbeat it answers.
const DELIVERY_BASE: u64 = 1 << 62;

value_type! {
    /// Identity of a process, which it states in the introduction.
    pub struct ProcessIdentity {
        /// Whether the process is an entry or an agent.
        pub role: ProcessRole,
        /// Name of the instance from the settings.
        pub instance: InstanceId,
        /// Random number, drawn each time the process starts.
        pub incarnation: IncarnationId,
        /// Data centre of the process from the settings.
        pub data_centre: DataCentreId,
    }
}

/// Timeouts, limits and security of links.
#[derive(Clone, Debug)]
pub struct LinkPolicy {
    /// Time limit for connecting, the TLS handshake and the introduction together.
    pub connect_timeout: Duration,
    /// Interval of heartbeats, and how many may be missed before a link is closed.
    pub heartbeat: HeartbeatPolicy,
    /// Key that both sides of a link must prove to hold; `None` for links without this check.
    pub shared_key: Option<SharedKey>,
    /// Certificates and keys for TLS; `None` for plain TCP.
    pub tls: Option<LinkTls>,
    /// Maximum number of links of each purpose that other processes may hold open to this one.
    pub max_links: usize,
    /// Maximum number of accepted connections whose introduction may be in progress at a time.
    pub max_introductions: usize,
}

impl Default for LinkPolicy {
    /// Returns a policy for plain TCP without a shared key.
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

/// Why a link could not be opened or accepted.
#[derive(Debug)]
pub enum LinkError {
    /// Connecting failed, or an operation on the socket during the introduction.
    Io(std::io::Error),
    /// Connecting, the TLS handshake and the introduction took longer than
    /// [`LinkPolicy::connect_timeout`].
    Timeout,
    /// During the introduction, the peer closed the connection, sent something other than the
    /// expected frame, or stated an unsupported protocol version, purpose or role. The text says
    /// which.
    Introduction(String),
    /// The peer refused the link, with this message.
    Rejected(String),
    /// The peer does not hold the shared key.
    Proof,
    /// The TLS handshake failed, or the peer's certificate is not accepted.
    Tls(std::io::Error),
    /// The limit on links of this purpose is reached, or the purpose is not specified.
    TooMany(LinkPurpose),
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(err) => write!(f, "link failed: {err}"),
            Self::Timeout => {
                f.write_str("connecting, the TLS handshake and the introduction took too long")
            }
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
    /// Returns the kind of error as a metric label.
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
    /// Frames for the task that writes to the connection.
    queue: mpsc::Sender<Body>,
    /// Cancelled when the link closes.
    closed: CancellationToken,
    /// Number of the latest heartbeat of [`LinkSender::wait_delivered`] that the peer replied to; 0
    /// before the first such reply.
    latest_reply: watch::Sender<u64>,
    /// Number of calls of [`LinkSender::wait_delivered`].
    delivery_waits: Arc<AtomicU64>,
    /// Counts the traffic of the link.
    meter: TrafficMeter,
}

/// Error of sending on a link: the link has closed; the frame, and frames queued before it, may or
/// may not have been delivered.
/// [`LinkSender::try_send`] also returns it if the queue is full.
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

    /// Queues a frame if the queue is not full.
    ///
    /// # Errors
    /// The link has closed or its queue is full.
    pub fn try_send(&self, body: Body) -> Result<(), LinkClosed> {
        if self.closed.is_cancelled() {
            return Err(LinkClosed);
        }
        self.queue.try_send(body).map_err(|_| LinkClosed)
    }

    /// Waits until the peer has received every frame that was queued before this call: sends a
    /// heartbeat after these frames and waits for the peer's reply to it.
    ///
    /// # Errors
    /// The link closed before the reply arrived.
    pub async fn wait_delivered(&self) -> Result<(), LinkClosed> {
        let number = DELIVERY_BASE + self.delivery_waits.fetch_add(1, Ordering::Relaxed);
        let mut latest_reply = self.latest_reply.subscribe();
        let reply = false;
        self.send(Body::Heartbeat(Heartbeat { number, reply }))
            .await?;
        tokio::select! {
            () = self.closed.cancelled() => Err(LinkClosed),
            reached = latest_reply.wait_for(|latest| *latest >= number) => {
                reached.map(|_| ()).map_err(|_| LinkClosed)
            }
        }
    }

    /// Records the peer's reply to the heartbeat `number`; ignores replies to periodic heartbeats.
    fn record_reply(&self, number: u64) {
        if number >= DELIVERY_BASE {
            self.latest_reply.send_replace(number);
        }
    }

    /// Returns the traffic of the link since it was opened.
    #[must_use]
    pub fn traffic(&self) -> TrafficCounts {
        self.meter.counts()
    }

    /// Closes the link in both directions. Queued frames may be lost.
    pub fn close(&self) {
        self.closed.cancel();
    }

    /// Whether the link has closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    /// Waits until the link has closed.
    pub async fn closed(&self) {
        self.closed.cancelled().await;
    }
}

/// Receives the frames of a link other than heartbeats. Dropping it closes the link.
#[derive(Debug)]
pub struct LinkReceiver {
    /// Queue of received frames, filled by the task that reads the connection.
    frames: mpsc::Receiver<Body>,
    /// Closes the link when the receiver is dropped.
    _closer: DropGuard,
    /// Permit of an accepted link; `None` if this process opened the link.
    _permit: Option<LinkPermit>,
}

impl LinkReceiver {
    /// Waits for the next frame. Returns `None` once the link has closed and all frames received
    /// before that have been returned.
    pub async fn recv(&mut self) -> Option<Body> {
        self.frames.recv().await
    }
}

/// An open link to a peer whose introduction succeeded.
#[derive(Debug)]
pub struct PeerLink {
    /// Identity that the peer stated.
    pub peer: ProcessIdentity,
    /// Kind of frames that the link carries.
    pub purpose: LinkPurpose,
    /// Session number from the connecting side; later links of one incarnation to the same peer
    /// have higher ones.
    pub session: SessionId,
    /// Sends frames to the peer.
    pub sender: LinkSender,
    /// Receives frames of the peer.
    pub receiver: LinkReceiver,
}

/// Opens a link to `address` for frames of `purpose`. The introduction states `identity` and the
/// session number `session` to the peer.
///
/// # Errors
/// The peer cannot be reached within [`LinkPolicy::connect_timeout`], the TLS handshake fails, or
/// the peer refuses the link or does not hold the shared key.
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
    with_timeout(policy.connect_timeout, opening).await
}

/// Answers the introduction on an accepted connection. The limits of `policy` apply to this link
/// alone; use [`accept_admitted`] to limit the number of links.
///
/// # Errors
/// The TLS handshake fails, the peer does not introduce itself within
/// [`LinkPolicy::connect_timeout`], speaks another protocol version, or does not hold the shared
/// key.
pub async fn accept(
    stream: TcpStream,
    identity: &ProcessIdentity,
    policy: &LinkPolicy,
) -> Result<PeerLink, LinkError> {
    let admission = LinkAdmission::new(policy);
    accept_admitted(stream, identity, policy, &admission).await
}

/// Answers the introduction on an accepted connection, and takes a permit of `admission` for the
/// link.
///
/// # Errors
/// As [`accept`]; also [`LinkError::TooMany`] if `admission` has no permit for the purpose.
pub async fn accept_admitted(
    stream: TcpStream,
    identity: &ProcessIdentity,
    policy: &LinkPolicy,
    admission: &LinkAdmission,
) -> Result<PeerLink, LinkError> {
    prepare_socket(&stream, policy)?;
    let opening = async {
        let Some(tls) = &policy.tls else {
            return answer_introduction(stream, identity, policy, admission).await;
        };
        let stream = tls.accept(stream).await?;
        answer_introduction(stream, identity, policy, admission).await
    };
    with_timeout(policy.connect_timeout, opening).await
}

/// Sets `TCP_NODELAY`, keep-alive and the user timeout. The kernel closes the connection if sent
/// data stay unacknowledged for as long as a link may go without a frame.
fn prepare_socket(stream: &TcpStream, policy: &LinkPolicy) -> Result<(), LinkError> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE);
    socket.set_tcp_keepalive(&keepalive)?;
    let ack_timeout = policy.heartbeat.interval * (policy.heartbeat.misses + 1);
    socket.set_tcp_user_timeout(Some(ack_timeout))?;
    Ok(())
}

/// Awaits `opening` for at most `timeout`, then fails with [`LinkError::Timeout`].
async fn with_timeout<Opening>(timeout: Duration, opening: Opening) -> Result<PeerLink, LinkError>
where
    Opening: Future<Output = Result<PeerLink, LinkError>>,
{
    tokio::time::timeout(timeout, opening)
        .await
        .unwrap_or(Err(LinkError::Timeout))
}

/// Starts the tasks that read and write a link after its introduction. `permit`, which only
/// accepted links have, is released when the receiver is dropped.
pub(super) fn start<Stream>(
    framed: Framed<Stream, FrameCodec>,
    peer: ProcessIdentity,
    purpose: LinkPurpose,
    session: SessionId,
    heartbeat: HeartbeatPolicy,
    permit: Option<LinkPermit>,
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
        latest_reply: watch::Sender::new(0),
        delivery_waits: Arc::default(),
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
            _permit: permit,
        },
    }
}

/// Writes queued frames until the link closes, and flushes whenever the queue is empty.
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

/// Reads frames, replies to heartbeats and sends periodic ones, until the link closes.
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
                        // If the send queue is full, the heartbeat is skipped: the queued frames
                        // show the peer as well that this process is alive.
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
            Body::Heartbeat(Heartbeat { number, .. }) => sender.record_reply(number),
            body => {
                if frames.send(body).await.is_err() {
                    break;
                }
            }
        }
    }
    sender.close();
}
