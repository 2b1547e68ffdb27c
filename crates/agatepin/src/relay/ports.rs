//! Traits that an adapter to a platform implements for entries and agents, with the types that the
//! traits use.

use std::net::SocketAddr;
use std::time::Duration;

use agatepin_core::ids::{CustomerId, DataCentreId, ModelId, PartId, RegionId, UpstreamId};
use agatepin_core::relay::catalog::{CatalogSpec, WeightsVersion};
use agatepin_core::relay::load_order::OrderCount;
use agatepin_core::relay::request_size::StatedOutput;
use agatepin_core::relay::row_version::RowVersion;
use agatepin_core::relay::speed::SpeedFactor;
use agatepin_core::relay::stated_limit::LimitNotice;
use agatepin_core::relay::upstreams::{EngineReport, UpstreamListing};
use bytes::Bytes;
use hyper::http::{HeaderMap, StatusCode, Uri, request};

agatepin_core::key_type! {
    /// Tables that an entry mirrors.
    pub enum MirrorTable {
        /// Operators' configuration, evacuations and announced weights.
        Operator,
        /// List of upstreams.
        Upstreams,
        /// Rows that entries write: their registrations and the times of weights announcements.
        Entries,
    }
}

impl MirrorTable {
    /// Number of the table in messages between daemons.
    #[must_use]
    pub fn number(self) -> u32 {
        match self {
            Self::Operator => 0,
            Self::Upstreams => 1,
            Self::Entries => 2,
        }
    }

    /// Returns the table with a number; none if the number is unknown.
    #[must_use]
    pub fn from_number(number: u32) -> Option<Self> {
        let all = [Self::Operator, Self::Upstreams, Self::Entries];
        all.into_iter().find(|table| table.number() == number)
    }
}

agatepin_core::value_type! {
    /// Row of a table, or its removal.
    pub struct TableRow {
        /// Key of the row in its table.
        pub key: String,
        /// Version of the row's last change.
        pub version: RowVersion,
        /// Encoded value; none if the row was removed.
        pub value: Option<Bytes>,
    }

    /// Result of a read: all rows of a table at one moment, or those that changed up to that moment.
    pub struct TableRead {
        /// Rows in the state of `version`.
        pub rows: Vec<TableRow>,
        /// Version of the table service at that moment.
        pub version: RowVersion,
        /// Reading of the service's monotonic clock at that moment.
        pub time: Duration,
    }

    /// Error of a call to the table service, the engine or the origin (source of weights).
    pub enum StoreError {
        /// The requested changes are no longer retained; all rows must be read again.
        HistoryGone,
        /// The call was answered with this HTTP status, which is not a success.
        Status(u16),
        /// The call failed, or its answer is invalid; the text gives the cause.
        Broken(String),
    }

    /// Outcome of a load order.
    pub enum OrderOutcome {
        /// The engine began the load with this order.
        Begun,
        /// The engine has executed, or is executing, an earlier order that is the same.
        InEffect,
        /// The engine does not execute this order; the number is the HTTP status.
        Refused(u16),
        /// The engine may have begun the load, or may still do so; the text says why this is not
        /// known.
        Unknown(String),
    }

    /// Change of the fleet that a row of the platform's store describes.
    pub enum FleetUpdate {
        /// Routes, services and customers.
        Catalog(Box<CatalogSpec>),
        /// An upstream is listed.
        Upstream(UpstreamId, UpstreamListing),
        /// An upstream is no longer listed.
        UpstreamRemoved(UpstreamId),
        /// Operators took a data centre out of use.
        Evacuated(DataCentreId),
        /// Operators put a data centre back into use.
        Restored(DataCentreId),
        /// Operators announced a version of weights.
        Weights {
            /// Model of the weights.
            model: ModelId,
            /// Announced version.
            version: WeightsVersion,
        },
        /// The row has no effect on entries and agents.
        Ignored,
    }

    /// Error of a row that cannot be used, with the cause.
    pub struct RowError(pub String);

    /// Data from the headers of a caller's request; method, path and host are not part of it.
    pub struct RequestHead {
        /// Attempt id from the caller's request; empty if missing.
        pub id: String,
        /// Time that the caller waits from the request's arrival on; none if not stated.
        pub client_timeout: Option<Duration>,
        /// API key of the caller; none if the request has none.
        pub key: Option<String>,
        /// Id of the last event that the caller received, if it resumes a stream.
        pub last_event: Option<u64>,
        /// Number of tokens in the prompt; 0 if not stated.
        pub prompt_tokens: u32,
        /// Number of output tokens, as far as it is stated.
        pub output: StatedOutput,
        /// Parts of the prompt in order, without the last, which no other request shares.
        pub parts: Vec<PartId>,
    }

    /// Data that an entry adds to the head of a forwarded request.
    pub struct ForwardHead<'call> {
        /// Time left until the deadline of the request.
        pub time_left: Duration,
        /// Upstream that the request is meant for.
        pub upstream: &'call str,
        /// Version of the weights that the upstream must hold; with none, any version may serve.
        pub weights: Option<WeightsVersion>,
        /// Customer of the caller; none if anonymous.
        pub customer: Option<&'call CustomerId>,
        /// Priority from 0, the highest, to 9.
        pub priority: u32,
        /// Id of the event after which the stream is to be resumed; none for a new request.
        pub last_event: Option<u64>,
    }

    /// Data from the head of an upstream's answer.
    pub struct AnswerHead {
        /// Id of the attempt that is answered; none if the upstream did not echo it.
        pub id: Option<String>,
        /// The answer carries the upstream's signature.
        pub sealed: bool,
        /// The upstream states that it did not run the request.
        pub not_run: bool,
        /// The body has a content encoding, so it is not what the upstream sent.
        pub encoded: bool,
        /// Remaining time of the upstream's cold start; none if not stated.
        pub cold_left: Option<Duration>,
        /// What the upstream states of itself.
        pub notices: UpstreamNotices,
        /// Load that the upstream states.
        pub load: StatedLoad,
    }

    /// Load of an upstream, as it states it in an answer.
    #[derive(Default)]
    pub struct StatedLoad {
        /// Number of requests that wait at the upstream; none if not stated.
        pub waiting: Option<u32>,
        /// Time that work takes there as a multiple of the usual time; none if not stated.
        pub speed: Option<SpeedFactor>,
    }

    /// What an upstream states of itself in an answer.
    pub struct UpstreamNotices {
        /// It is leaving and wants no more requests.
        pub leaving: bool,
        /// Time for which it wants no more requests from this entry; none if not stated.
        pub hold: Option<Duration>,
        /// Rate of requests that it takes from all entries together.
        pub limit: LimitNotice,
    }

    /// Query of a caller for the addresses of entries.
    pub struct DirectoryQuery {
        /// Data centre of the caller.
        pub data_centre: DataCentreId,
        /// Region of the caller.
        pub region: RegionId,
    }

    /// State of an engine (model server). `orders` and `born` serve to give load orders (to load staged
    /// weights) safely.
    pub struct EngineState {
        /// Availability, weights and numbers of requests, which the agent reports to entries.
        pub report: EngineReport,
        /// Number of load orders that the engine has accepted.
        pub orders: u64,
        /// Time when the engine was started, in Unix milliseconds.
        pub born: u64,
    }

    /// Digests of all pieces of one version of weights.
    pub struct PieceDigests {
        /// SHA-256 of each piece, by its number.
        pub digests: Vec<[u8; 32]>,
    }
}

impl EngineState {
    /// Count of the load orders that the engine has accepted.
    #[must_use]
    pub fn order_count(&self) -> OrderCount {
        OrderCount {
            orders: self.orders,
            born: self.born,
        }
    }
}

/// Client of the platform's table service.
pub trait TableStore: Clone + 'static {
    /// Reads all rows of a table.
    fn list(&self, table: MirrorTable) -> impl Future<Output = Result<TableRead, StoreError>>;

    /// Returns the rows that changed after the version `after`; waits up to `wait` for one (long poll).
    fn changes_after(
        &self,
        table: MirrorTable,
        after: RowVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<TableRead, StoreError>>;

    /// Writes a row of the entries' table unless a row with that key exists; succeeds in both cases.
    fn insert_entry_row(
        &self,
        key: &str,
        value: Bytes,
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Writes a row of the entries' table, or removes it if there is no value.
    fn write_entry_row(
        &self,
        key: &str,
        value: Option<Bytes>,
    ) -> impl Future<Output = Result<(), StoreError>>;
}

/// Translation between the platform's formats and the types of this module.
pub trait WireDialect: Clone + 'static {
    /// Decodes a row into the change of the fleet that it describes.
    ///
    /// # Errors
    /// The row is malformed, or refers to something unknown.
    fn read_row(&self, table: MirrorTable, row: &TableRow) -> Result<FleetUpdate, RowError>;

    /// Decodes the head of a caller's request.
    fn read_request(&self, parts: &request::Parts) -> RequestHead;

    /// Replaces the headers that are meant for the entry by those that the upstream needs.
    fn write_forward_head(&self, headers: &mut HeaderMap, head: &ForwardHead<'_>);

    /// Decodes the head of an upstream's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Decodes a query for addresses of entries; none if the request is something else.
    fn read_directory_query(&self, uri: &Uri) -> Option<DirectoryQuery>;

    /// Encodes the answer to a query for addresses of entries, which callers may cache for `ttl`.
    fn write_addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Whether a request is the platform's readiness check.
    fn is_readiness_check(&self, uri: &Uri) -> bool;
}

/// Client of the engine beside an agent, and of the origin of weights.
pub trait EnginePort: Clone + 'static {
    /// Reads the state of the engine.
    fn state(&self) -> impl Future<Output = Result<EngineState, StoreError>>;

    /// Reads the piece with the number `piece` from the engine's staging area (where pieces of weights
    /// are written before a load); none if the area does not hold that piece.
    fn staged(
        &self,
        model: &str,
        piece: u32,
    ) -> impl Future<Output = Result<Option<Bytes>, StoreError>>;

    /// Writes a piece to the engine's staging area.
    fn stage(
        &self,
        model: &str,
        piece: u32,
        data: Bytes,
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Orders the engine to load the staged pieces and to abort its running requests. `orders` is
    /// the number of orders that it accepted before: an engine that has accepted another one since
    /// refuses this one.
    fn load(
        &self,
        model: &str,
        version: WeightsVersion,
        orders: u64,
    ) -> impl Future<Output = OrderOutcome>;

    /// Reads the digests of all pieces of a version from the origin (source of weights).
    fn digests(
        &self,
        origin: SocketAddr,
        model: &str,
        version: WeightsVersion,
    ) -> impl Future<Output = Result<PieceDigests, StoreError>>;

    /// Reads the piece with the number `piece` from the origin.
    fn piece(
        &self,
        origin: SocketAddr,
        model: &str,
        version: WeightsVersion,
        piece: u32,
    ) -> impl Future<Output = Result<Bytes, StoreError>>;
}
