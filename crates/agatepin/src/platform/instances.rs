//! Client of the platform's instance list. The list may lag behind the instances that run.

use std::net::SocketAddr;
use std::time::Duration;

use agatepin_core::ids::{DataCentreId, InstanceId};
use agatepin_core::member::{ClusterMember, MemberHealth, MemberRole};
use agatepin_core::value_type;
use awc::http::Method;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;

use super::http::{HttpClient, HttpError, HttpRequest};

/// Maximum size of the response that contains the list, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// JSON body of the instance list.
#[derive(Debug, Deserialize)]
struct ListBody {
    /// Rows, which are parsed one by one as [`ListedInstance`].
    instances: Vec<Value>,
}

value_type! {
    /// The instance list at one read.
    pub struct ListSnapshot {
        /// Members on the list.
        pub members: Vec<ClusterMember>,
        /// Number of malformed rows, which were skipped.
        pub skipped: u64,
        /// Size of the list in bytes.
        pub bytes: usize,
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ListedRole {
    Entry,
    Agent,
}

/// Row of the instance list.
#[derive(Debug, Deserialize)]
struct ListedInstance {
    id: InstanceId,
    role: ListedRole,
    data_centre: DataCentreId,
    /// Address at which the instance accepts links from other processes.
    wire: SocketAddr,
    /// Address at which the instance serves HTTP.
    http: SocketAddr,
    /// Whether the instance is shutting down; `false` if the row does not say.
    #[serde(default)]
    leaving: bool,
}

impl From<ListedInstance> for ClusterMember {
    fn from(instance: ListedInstance) -> Self {
        Self {
            instance: instance.id,
            role: match instance.role {
                ListedRole::Entry => MemberRole::Entry,
                ListedRole::Agent => MemberRole::Agent,
            },
            data_centre: instance.data_centre,
            wire: instance.wire,
            http: instance.http,
            upstream: None,
            leaving: instance.leaving,
            health: MemberHealth::Alive,
        }
    }
}

/// Reads the instance list.
#[derive(Clone, Debug)]
pub struct InstanceReader {
    client: HttpClient,
    /// URL of the list.
    url: String,
    /// Bearer token; `None` sends no `authorization` header.
    token: Option<String>,
    /// Time limit for one read.
    timeout: Duration,
}

impl InstanceReader {
    /// Creates a reader for the service at the base URL `url`. `token` is sent as bearer token;
    /// `timeout` limits each read.
    #[must_use]
    pub fn new(client: HttpClient, url: &str, token: Option<String>, timeout: Duration) -> Self {
        Self {
            client,
            url: format!("{}/instances", url.trim_end_matches('/')),
            token,
            timeout,
        }
    }

    /// Reads the whole list.
    ///
    /// # Errors
    /// There is no complete response, its status is not 200, or it is not an instance list.
    pub async fn read(&self) -> Result<ListSnapshot, HttpError> {
        let mut headers = Vec::new();
        if let Some(token) = &self.token {
            headers.push(("authorization".to_owned(), format!("Bearer {token}")));
        }
        let request = HttpRequest {
            method: Method::GET,
            url: self.url.clone(),
            headers,
            body: Bytes::new(),
            timeout: self.timeout,
            max_reply_bytes: MAX_LIST_BYTES,
        };
        let reply = self.client.request(request).await?;
        if reply.status != 200 {
            let message = format!("instance list: status {}", reply.status);
            return Err(HttpError::Invalid(message));
        }
        decode_list(&reply.body)
    }
}

/// Decodes the list. Malformed rows are skipped and counted, so that one malformed row does not
/// hide the other instances.
///
/// # Errors
/// The body is not JSON, or it has no array of instances.
pub fn decode_list(body: &[u8]) -> Result<ListSnapshot, HttpError> {
    let list: ListBody = serde_json::from_slice(body)
        .map_err(|err| HttpError::Invalid(format!("instance list: {err}")))?;
    let mut snapshot = ListSnapshot {
        members: Vec::with_capacity(list.instances.len()),
        skipped: 0,
        bytes: body.len(),
    };
    for row in list.instances {
        match ListedInstance::deserialize(row) {
            Ok(instance) => snapshot.members.push(instance.into()),
            Err(_) => snapshot.skipped += 1,
        }
    }
    Ok(snapshot)
}
