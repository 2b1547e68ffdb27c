//! What the adapter to a platform provides to entries and agents.

use std::net::SocketAddr;
use std::time::Duration;

use agatepin_core::ids::{CustomerId, DataCentreId, ModelId, RegionId, UpstreamId};
use agatepin_core::relay::catalog::{CatalogSpec, WeightsVersion};
use agatepin_core::relay::upstreams::{EngineReport, UpstreamListing};
use bytes::Bytes;
use hyper::http::{HeaderMap, StatusCode, Uri, request};

/// Number that a table service gives to each state of its rows.
pub type RowVersion = u64;

agatepin_core::key_type! {
    /// Tables that an entry mirrors.
    pub enum MirrorTable {
        /// What operators declare.
        Operator,
        /// The list of upstreams.
        Upstreams,
        /// The entries' own table.
        Entries,
    }
}

impl MirrorTable {
    /// Number of the table between daemons.
    #[must_use]
    pub fn number(self) -> u32 {
        match self {
            Self::Operator => 0,
            Self::Upstreams => 1,
            Self::Entries => 2,
        }
    }

    /// The table of a number; none where it is unknown.
    #[must_use]
    pub fn from_number(number: u32) -> Option<Self> {
        let all = [Self::Operator, Self::Upstreams, Self::Entries];
        all.into_iter().find(|table| table.number() == number)
    }
}

agatepin_core::value_type! {
    /// A row.
    pub struct TableRow {
        /// Key.
        pub key: String,
        /// Version of the row.
        pub version: RowVersion,
        /// Its bytes; none where the row was removed.
        pub value: Option<Bytes>,
    }

    /// Rows as of one moment, or changes up to it.
    pub struct TableRead {
        /// Rows.
        pub rows: Vec<TableRow>,
        /// Version of the service at that moment.
        pub version: RowVersion,
        /// The service's steady clock at that moment.
        pub time: Duration,
    }

    /// Why a call of the table service failed.
    pub enum StoreError {
        /// The changes asked for are no longer kept; read the rows again.
        HistoryGone,
        /// It answered with a failure.
        Status(u16),
        /// It did not answer as it should.
        Broken(String),
    }

    /// What a row of the platform says.
    pub enum FleetUpdate {
        /// A catalog.
        Catalog(Box<CatalogSpec>),
        /// An upstream.
        Upstream(UpstreamId, UpstreamListing),
        /// An upstream is gone.
        UpstreamRemoved(UpstreamId),
        /// A data centre is taken out of use.
        Evacuated(DataCentreId),
        /// A data centre is back in use.
        Restored(DataCentreId),
        /// New weights are named.
        Weights {
            /// Model.
            model: ModelId,
            /// Version.
            version: WeightsVersion,
        },
        /// Nothing that matters here.
        Ignored,
    }

    /// A row that cannot be used; says which and why.
    pub struct RowError(pub String);

    /// What a request's head says beyond method, path and host.
    pub struct RequestHead {
        /// Name that the caller gave this attempt; empty where it is missing.
        pub id: String,
        /// Time that the caller waits.
        pub client_timeout: Option<Duration>,
        /// Key of the caller.
        pub key: Option<String>,
        /// Last event that the caller has of a stream that goes on.
        pub last_event: Option<u64>,
        /// Tokens of the prompt.
        pub prompt_tokens: u32,
    }

    /// What an entry tells an upstream with a request.
    pub struct ForwardHead<'call> {
        /// Time that is left.
        pub time_left: Duration,
        /// The upstream that it is meant for.
        pub upstream: &'call str,
        /// Weights that it must hold.
        pub weights: Option<WeightsVersion>,
        /// Customer of the caller.
        pub customer: Option<&'call CustomerId>,
        /// Urgency from 0, the highest, to 9.
        pub priority: u32,
        /// Event after which the stream is to go on.
        pub last_event: Option<u64>,
    }

    /// What the head of an upstream's answer says.
    pub struct AnswerHead {
        /// Attempt that it answers.
        pub id: Option<String>,
        /// It carries the upstream's signature.
        pub sealed: bool,
        /// It says that the request did not run.
        pub not_run: bool,
        /// Its body is encoded, so that it is not the upstream's.
        pub encoded: bool,
        /// How much longer the upstream is cold.
        pub cold_left: Option<Duration>,
    }

    /// A question of a caller where to connect.
    pub struct DirectoryQuery {
        /// Data centre of the caller.
        pub data_centre: DataCentreId,
        /// Region of the caller.
        pub region: RegionId,
    }

    /// What an engine says of itself, with what orders need.
    pub struct EngineState {
        /// What entries are told.
        pub report: EngineReport,
        /// Orders that it accepted.
        pub orders: u64,
        /// Unix milliseconds of its start.
        pub born: u64,
    }

    /// Digests of the pieces of one version.
    pub struct PieceDigests {
        /// SHA-256 of each piece.
        pub digests: Vec<[u8; 32]>,
    }
}

/// The platform's table service.
pub trait TableStore: Clone + 'static {
    /// Reads all rows of a table.
    fn list(&self, table: MirrorTable) -> impl Future<Output = Result<TableRead, StoreError>>;

    /// Waits up to `wait` for changes after the version `after`.
    fn changes_after(
        &self,
        table: MirrorTable,
        after: RowVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<TableRead, StoreError>>;

    /// Writes a row of the entries' table unless it is there already.
    fn insert_entry_row(
        &self,
        key: &str,
        value: Bytes,
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Writes a row of the entries' table, or removes it where there is no value.
    fn write_entry_row(
        &self,
        key: &str,
        value: Option<Bytes>,
    ) -> impl Future<Output = Result<(), StoreError>>;
}

/// The platform's rows and messages.
pub trait WireDialect: Clone + 'static {
    /// Reads a row.
    ///
    /// # Errors
    /// The row cannot be used.
    fn read_row(&self, table: MirrorTable, row: &TableRow) -> Result<FleetUpdate, RowError>;

    /// Reads the head of a caller's request.
    fn read_request(&self, parts: &request::Parts) -> RequestHead;

    /// Turns a caller's headers into those for an upstream.
    fn write_forward_head(&self, headers: &mut HeaderMap, head: &ForwardHead<'_>);

    /// Reads the head of an upstream's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Reads a question to the directory; none where it is another request.
    fn read_directory_query(&self, uri: &Uri) -> Option<DirectoryQuery>;

    /// Writes the directory's answer.
    fn write_addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Whether this asks if the entry is ready.
    fn is_readiness_check(&self, uri: &Uri) -> bool;
}

/// The engine beside an agent, and the origin of weights.
pub trait EnginePort: Clone + 'static {
    /// State of the engine.
    fn state(&self) -> impl Future<Output = Result<EngineState, StoreError>>;

    /// A staged piece; none where it is not staged.
    fn staged(
        &self,
        model: &str,
        piece: u32,
    ) -> impl Future<Output = Result<Option<Bytes>, StoreError>>;

    /// Stages a piece.
    fn stage(
        &self,
        model: &str,
        piece: u32,
        data: Bytes,
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Orders the engine to load what is staged, and to break off what runs. `orders` is the number
    /// of orders that it accepted before.
    fn load(
        &self,
        model: &str,
        version: WeightsVersion,
        orders: u64,
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Digests of a version, from the origin.
    fn digests(
        &self,
        origin: SocketAddr,
        model: &str,
        version: WeightsVersion,
    ) -> impl Future<Output = Result<PieceDigests, StoreError>>;

    /// A piece, from the origin.
    fn piece(
        &self,
        origin: SocketAddr,
        model: &str,
        version: WeightsVersion,
        piece: u32,
    ) -> impl Future<Output = Result<Bytes, StoreError>>;
}
