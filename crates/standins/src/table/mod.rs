//! Stand-in of the transactional table service and the object store, both on one port.
//!
//! The table service supports the part of the `DynamoDB` protocol that agatepin uses: `GetItem`
//! and conditional puts in `TransactWriteItems`.

mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use actix_web::web::{Bytes, Data, Path, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse, web};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::server::{LOOPBACK_ANY_PORT, StandinRole, StandinServer, drop_connection};
use crate::sync::lock;
use wire::{GetRequest, RowItem, RowKey, TransactRequest};

const GET_ITEM: &str = "DynamoDB_20120810.GetItem";
const TRANSACT_WRITE_ITEMS: &str = "DynamoDB_20120810.TransactWriteItems";
/// Most items in one transaction, as in `DynamoDB`.
const MAX_TRANSACTION_ITEMS: usize = 100;

/// A running table service and object store.
pub type TableStandin = StandinServer<TableRole>;

/// Options of the table service and object store at their start.
#[derive(Clone, Debug)]
pub struct TableOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
}

impl Default for TableOptions {
    fn default() -> Self {
        Self {
            listen: LOOPBACK_ANY_PORT,
        }
    }
}

/// How the table service and object store handle requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableMode {
    /// Responds without a delay.
    #[default]
    Up,
    /// Responds to every request with status 503 without executing it.
    Down,
    /// Delays every request.
    Slow {
        /// Delay before a request is executed, in milliseconds.
        delay_ms: u64,
    },
    /// Executes writes but responds as if they had failed, so that their outcome is unknown to
    /// the client.
    LoseAnswers {
        /// Number of writes until the mode returns to `up`; unlimited if absent.
        #[serde(default)]
        count: Option<u32>,
        /// Whether the connection is dropped instead of a response with status 503.
        #[serde(default)]
        drop: bool,
    },
}

/// Change of the table service and object store.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableControl {
    /// Sets how requests are handled.
    Mode(TableMode),
    /// Sets all counters to zero.
    ResetCounters,
}

/// Requests since the start or the last reset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TableCounters {
    /// Row reads, whether the row exists or not.
    pub reads: u64,
    /// Transactions received, whether they were executed or not.
    pub transactions_received: u64,
    /// Transactions that took effect.
    pub transactions: u64,
    /// Items in the transactions that took effect.
    pub items: u64,
    /// Transactions that were cancelled because a condition was not met.
    pub conflicts: u64,
    /// Object reads, whether the object exists or not.
    pub object_reads: u64,
    /// Object writes.
    pub object_writes: u64,
    /// Requests refused in mode `down`.
    pub refusals: u64,
    /// Writes that took effect and whose success response was withheld.
    pub lost_answers: u64,
}

/// State of the table service and object store that a test can read.
#[derive(Clone, Debug, Serialize)]
pub struct TableState {
    /// How requests are handled.
    pub mode: TableMode,
    /// Requests since the start or the last reset.
    pub counters: TableCounters,
    /// Version (attribute `v`) of each row, by `TABLE/KEY`.
    pub versions: BTreeMap<String, String>,
    /// Size of each object in bytes, by key.
    pub objects: BTreeMap<String, usize>,
}

/// Role of the table service and object store.
#[derive(Default)]
pub struct TableRole {
    store: Mutex<Store>,
}

#[derive(Default)]
struct Store {
    mode: TableMode,
    counters: TableCounters,
    rows: BTreeMap<RowKey, RowItem>,
    objects: BTreeMap<String, Bytes>,
}

impl StandinServer<TableRole> {
    /// Starts the table service and object store.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    #[allow(clippy::unused_async)]
    pub async fn start(options: TableOptions) -> io::Result<Self> {
        Self::serve(TableRole::default(), options.listen)
    }
}

impl StandinRole for TableRole {
    type Control = TableControl;
    type State = TableState;

    fn control(&self, control: TableControl) -> Result<(), String> {
        let mut store = lock(&self.store);
        match control {
            TableControl::Mode(mode) => store.mode = mode,
            TableControl::ResetCounters => store.counters = TableCounters::default(),
        }
        Ok(())
    }

    fn state(&self) -> TableState {
        let store = lock(&self.store);
        let version = |((table, key), item): (&RowKey, &RowItem)| {
            (format!("{table}/{key}"), item.v.number.clone())
        };
        let size = |(key, body): (&String, &Bytes)| (key.clone(), body.len());
        TableState {
            mode: store.mode.clone(),
            counters: store.counters,
            versions: store.rows.iter().map(version).collect(),
            objects: store.objects.iter().map(size).collect(),
        }
    }

    fn routes(config: &mut ServiceConfig) {
        config
            .route("/", web::post().to(run_operation))
            .route("/objects/{key:.*}", web::put().to(put_object))
            .route("/objects/{key:.*}", web::get().to(get_object));
    }
}

impl TableRole {
    /// Applies the delay of the mode. Returns the response as an error if the mode refuses the
    /// request.
    async fn admit(&self) -> Result<(), HttpResponse> {
        let mode = lock(&self.store).mode.clone();
        if let TableMode::Slow { delay_ms } = mode {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        let mut store = lock(&self.store);
        if store.mode != TableMode::Down {
            return Ok(());
        }
        store.counters.refusals += 1;
        Err(service_unavailable())
    }
}

impl Store {
    fn read(&mut self, request: &GetRequest) -> HttpResponse {
        self.counters.reads += 1;
        let key = (request.table_name.clone(), request.key.k.text.clone());
        match self.rows.get(&key) {
            Some(item) => HttpResponse::Ok().json(json!({ "Item": item })),
            None => HttpResponse::Ok().json(json!({})),
        }
    }

    /// Writes all items if every condition is met; otherwise writes none.
    fn transact(&mut self, request: TransactRequest) -> HttpResponse {
        let conditions_met = match self.check_conditions(&request) {
            Ok(conditions_met) => conditions_met,
            Err(message) => return validation_error(&message),
        };
        if conditions_met.contains(&false) {
            self.counters.conflicts += 1;
            return transaction_canceled(&conditions_met);
        }
        self.counters.transactions += 1;
        for item in request.transact_items {
            self.counters.items += 1;
            self.rows.insert(item.put.row_key(), item.put.item);
        }
        self.respond_to_write(HttpResponse::Ok().json(json!({})))
    }

    /// Returns for each item in order whether its condition is met, or an error if the transaction
    /// is invalid.
    fn check_conditions(&self, request: &TransactRequest) -> Result<Vec<bool>, String> {
        let count = request.transact_items.len();
        if count == 0 || count > MAX_TRANSACTION_ITEMS {
            return Err(format!(
                "transaction has {count} items, expected 1 to {MAX_TRANSACTION_ITEMS}"
            ));
        }
        let mut keys = BTreeSet::new();
        let mut conditions_met = Vec::with_capacity(count);
        for item in &request.transact_items {
            let key = item.put.row_key();
            conditions_met.push(item.put.condition_met(self.rows.get(&key))?);
            if !keys.insert(key) {
                return Err("transaction puts the same row twice".to_owned());
            }
        }
        Ok(conditions_met)
    }

    /// Returns `response` to a write that took effect, or a failure in mode `lose-answers`.
    fn respond_to_write(&mut self, response: HttpResponse) -> HttpResponse {
        let TableMode::LoseAnswers { count, drop } = &mut self.mode else {
            return response;
        };
        let drops_connection = *drop;
        if let Some(writes_left) = count {
            *writes_left = writes_left.saturating_sub(1);
            if *writes_left == 0 {
                self.mode = TableMode::Up;
            }
        }
        self.counters.lost_answers += 1;
        if drops_connection {
            drop_connection()
        } else {
            service_unavailable()
        }
    }
}

async fn run_operation(role: Data<TableRole>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let target = request
        .headers()
        .get("x-amz-target")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    if target == TRANSACT_WRITE_ITEMS {
        lock(&role.store).counters.transactions_received += 1;
    }
    if let Err(refusal) = role.admit().await {
        return refusal;
    }
    match target {
        GET_ITEM => match serde_json::from_slice(&body) {
            Ok(request) => lock(&role.store).read(&request),
            Err(err) => validation_error(&err.to_string()),
        },
        TRANSACT_WRITE_ITEMS => match serde_json::from_slice(&body) {
            Ok(request) => lock(&role.store).transact(request),
            Err(err) => validation_error(&err.to_string()),
        },
        other => validation_error(&format!("unknown operation \"{other}\"")),
    }
}

async fn put_object(role: Data<TableRole>, key: Path<String>, body: Bytes) -> HttpResponse {
    if let Err(refusal) = role.admit().await {
        return refusal;
    }
    let mut store = lock(&role.store);
    store.counters.object_writes += 1;
    store.objects.insert(key.into_inner(), body);
    store.respond_to_write(HttpResponse::Ok().finish())
}

async fn get_object(role: Data<TableRole>, key: Path<String>) -> HttpResponse {
    if let Err(refusal) = role.admit().await {
        return refusal;
    }
    let mut store = lock(&role.store);
    store.counters.object_reads += 1;
    match store.objects.get(key.as_str()) {
        Some(body) => HttpResponse::Ok().body(body.clone()),
        None => HttpResponse::NotFound().finish(),
    }
}

fn service_unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable().json(json!({ "__type": "ServiceUnavailable" }))
}

fn validation_error(message: &str) -> HttpResponse {
    HttpResponse::BadRequest().json(json!({ "__type": "ValidationException", "message": message }))
}

fn transaction_canceled(conditions_met: &[bool]) -> HttpResponse {
    let code = |met: &bool| {
        if *met {
            "None"
        } else {
            "ConditionalCheckFailed"
        }
    };
    let reasons: Vec<_> = conditions_met
        .iter()
        .map(|met| json!({ "Code": code(met) }))
        .collect();
    HttpResponse::BadRequest().json(json!({
        "__type": "TransactionCanceledException",
        "CancellationReasons": reasons,
    }))
}
