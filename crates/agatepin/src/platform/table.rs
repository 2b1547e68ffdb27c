//! Client of the table service: versioned rows, changed by compare-and-set.

use std::fmt;
use std::time::Duration;

use agatepin_core::value_type;
use awc::http::Method;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde_json::{Value, json};

use super::http::{HttpClient, HttpError, HttpReply, HttpRequest};

/// Maximum number of rows in one transaction.
pub const MAX_TRANSACTION_ROWS: usize = 100;

/// Maximum size of a response of the table service, in bytes.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;
/// Value of the `x-amz-target` header for reading a row.
const GET_TARGET: &str = "DynamoDB_20120810.GetItem";
/// Value of the `x-amz-target` header for a transaction of conditional writes.
const TRANSACT_TARGET: &str = "DynamoDB_20120810.TransactWriteItems";
/// Lowest HTTP status code of server errors.
const MIN_SERVER_ERROR: u16 = 500;

value_type! {
    /// Contents of a row at one read.
    pub struct TableRow {
        /// Version that the last write set; a later write may require that the row still has it.
        pub version: u64,
        /// Value of the row.
        pub value: Bytes,
    }

    /// Condition on a row for a write to take effect.
    #[derive(Copy)]
    pub enum RowExpectation {
        /// The row does not exist.
        Absent,
        /// The row has this version.
        Version(u64),
    }

    /// Conditional write of one row.
    pub struct RowPut {
        /// Name of the table.
        pub table: String,
        /// Key of the row.
        pub key: String,
        /// New value of the row.
        pub value: Bytes,
        /// Condition for the write.
        pub expect: RowExpectation,
        /// New version of the row.
        pub new_version: u64,
    }

    /// Why a table operation failed.
    pub enum TableError {
        /// The conditions of these rows, given by their index in the transaction, did not hold;
        /// nothing was written.
        Conflict(Vec<usize>),
        /// The service could not be reached, or a read failed; nothing was written.
        Unavailable(String),
        /// The response to a write is lost or is a server error: the write may have taken effect.
        Unknown(String),
        /// The service rejected the request, or its response cannot be decoded; nothing was
        /// written.
        Refused(String),
    }
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(rows) => write!(f, "rows {rows:?} were not as expected"),
            Self::Unavailable(reason) => write!(f, "table service is not available: {reason}"),
            Self::Unknown(reason) => write!(f, "outcome at the table service unknown: {reason}"),
            Self::Refused(reason) => write!(f, "table service refuses the request: {reason}"),
        }
    }
}

impl std::error::Error for TableError {}

/// Operations of a table service.
pub trait TableStore: Clone + Send + Sync + 'static {
    /// Reads the row `key` of `table`, consistently with completed writes; `None` if it does not
    /// exist.
    fn get(
        &self,
        table: &str,
        key: &str,
    ) -> impl Future<Output = Result<Option<TableRow>, TableError>> + Send;

    /// Writes all rows or none, in one transaction of at most [`MAX_TRANSACTION_ROWS`].
    fn transact(&self, puts: Vec<RowPut>) -> impl Future<Output = Result<(), TableError>> + Send;
}

/// Client of a service that speaks the `DynamoDB` JSON protocol.
#[derive(Clone, Debug)]
pub struct DynamoTable {
    client: HttpClient,
    /// URL of the service.
    url: String,
    /// Bearer token; `None` sends no `authorization` header.
    token: Option<String>,
    /// Time limit for one request.
    timeout: Duration,
}

impl DynamoTable {
    /// Creates a client of the service at `url`. `token` is sent as bearer token; `timeout` limits
    /// each request.
    #[must_use]
    pub fn new(client: HttpClient, url: String, token: Option<String>, timeout: Duration) -> Self {
        Self {
            client,
            url,
            token,
            timeout,
        }
    }

    async fn call(&self, target: &str, body: &Value) -> Result<HttpReply, HttpError> {
        let mut headers = vec![
            (
                "content-type".to_owned(),
                "application/x-amz-json-1.0".to_owned(),
            ),
            ("x-amz-target".to_owned(), target.to_owned()),
        ];
        if let Some(token) = &self.token {
            headers.push(("authorization".to_owned(), format!("Bearer {token}")));
        }
        let request = HttpRequest {
            method: Method::POST,
            url: self.url.clone(),
            headers,
            body: body.to_string().into(),
            timeout: self.timeout,
            max_reply_bytes: MAX_REPLY_BYTES,
        };
        self.client.request(request).await
    }
}

impl TableStore for DynamoTable {
    async fn get(&self, table: &str, key: &str) -> Result<Option<TableRow>, TableError> {
        let body = json!({
            "TableName": table,
            "Key": {"k": {"S": key}},
            "ConsistentRead": true,
        });
        let reply = self
            .call(GET_TARGET, &body)
            .await
            .map_err(|err| TableError::Unavailable(err.to_string()))?;
        if reply.status != 200 {
            return Err(read_failure(&reply));
        }
        decode_row(&reply.body)
    }

    async fn transact(&self, puts: Vec<RowPut>) -> Result<(), TableError> {
        if puts.is_empty() || puts.len() > MAX_TRANSACTION_ROWS {
            let message = format!(
                "{} rows; 1 to {MAX_TRANSACTION_ROWS} are allowed",
                puts.len()
            );
            return Err(TableError::Refused(message));
        }
        let items: Vec<Value> = puts.iter().map(encode_put).collect();
        let body = json!({"TransactItems": items});
        let reply = self
            .call(TRANSACT_TARGET, &body)
            .await
            .map_err(transact_error)?;
        if reply.status == 200 {
            return Ok(());
        }
        Err(write_failure(&reply))
    }
}

fn transact_error(err: HttpError) -> TableError {
    match err {
        HttpError::Connect(reason) => TableError::Unavailable(reason),
        HttpError::Lost(reason) => TableError::Unknown(reason),
        HttpError::Invalid(reason) => TableError::Refused(reason),
    }
}

fn encode_put(put: &RowPut) -> Value {
    let mut fields = json!({
        "TableName": put.table,
        "Item": {
            "k": {"S": put.key},
            "v": {"N": put.new_version.to_string()},
            "b": {"B": STANDARD.encode(&put.value)},
        },
    });
    match put.expect {
        RowExpectation::Absent => {
            fields["ConditionExpression"] = json!("attribute_not_exists(k)");
        }
        RowExpectation::Version(version) => {
            fields["ConditionExpression"] = json!("v = :v");
            fields["ExpressionAttributeValues"] = json!({":v": {"N": version.to_string()}});
        }
    }
    json!({"Put": fields})
}

/// Decodes the response to a read of one row; `None` if the row does not exist.
///
/// # Errors
/// The body is not JSON, or the row lacks a valid version or value.
pub fn decode_row(body: &[u8]) -> Result<Option<TableRow>, TableError> {
    let malformed = || TableError::Refused("the answer is not a row".to_owned());
    let answer: Value = serde_json::from_slice(body).map_err(|_| malformed())?;
    let Some(item) = answer.get("Item") else {
        return Ok(None);
    };
    let version = item["v"]["N"]
        .as_str()
        .and_then(|text| text.parse().ok())
        .ok_or_else(malformed)?;
    let value = item["b"]["B"]
        .as_str()
        .and_then(|text| STANDARD.decode(text).ok())
        .ok_or_else(malformed)?;
    Ok(Some(TableRow {
        version,
        value: value.into(),
    }))
}

fn read_failure(reply: &HttpReply) -> TableError {
    let reason = describe(reply);
    if reply.status >= MIN_SERVER_ERROR {
        return TableError::Unavailable(reason);
    }
    TableError::Refused(reason)
}

fn write_failure(reply: &HttpReply) -> TableError {
    if let Some(rows) = decode_failed_rows(&reply.body) {
        return TableError::Conflict(rows);
    }
    let reason = describe(reply);
    // The documentation of the protocol says that a write may have taken effect despite a server
    // error.
    if reply.status >= MIN_SERVER_ERROR {
        return TableError::Unknown(reason);
    }
    TableError::Refused(reason)
}

fn describe(reply: &HttpReply) -> String {
    let answer: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
    let kind = answer["__type"].as_str().unwrap_or_default();
    format!("status {} {kind}", reply.status)
}

/// Decodes the indexes of the rows whose conditions cancelled a transaction; `None` if the body has
/// no cancellation reasons.
#[must_use]
pub fn decode_failed_rows(body: &[u8]) -> Option<Vec<usize>> {
    let answer: Value = serde_json::from_slice(body).ok()?;
    let reasons = answer["CancellationReasons"].as_array()?;
    let rows = reasons
        .iter()
        .enumerate()
        .filter(|(_, reason)| reason["Code"] == "ConditionalCheckFailed")
        .map(|(index, _)| index)
        .collect();
    Some(rows)
}
