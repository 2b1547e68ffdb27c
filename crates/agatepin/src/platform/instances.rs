//! The platform's list of instances. It lags.

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

const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug, Deserialize)]
struct InstanceList {
    instances: Vec<Value>,
}

value_type! {
    /// A list as read.
    pub struct ListSnapshot {
        /// Members that it names.
        pub members: Vec<ClusterMember>,
        /// Rows that were left out because they are malformed.
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

#[derive(Debug, Deserialize)]
struct ListedInstance {
    id: InstanceId,
    role: ListedRole,
    data_centre: DataCentreId,
    wire: SocketAddr,
    http: SocketAddr,
    #[serde(default)]
    leaving: bool,
}

impl From<ListedInstance> for ClusterMember {
    fn from(listed: ListedInstance) -> Self {
        Self {
            instance: listed.id,
            role: match listed.role {
                ListedRole::Entry => MemberRole::Entry,
                ListedRole::Agent => MemberRole::Agent,
            },
            data_centre: listed.data_centre,
            wire: listed.wire,
            http: listed.http,
            upstream: None,
            leaving: listed.leaving,
            health: MemberHealth::Alive,
        }
    }
}

/// Reads the instance list.
#[derive(Clone, Debug)]
pub struct InstanceReader {
    client: HttpClient,
    url: String,
    token: Option<String>,
    timeout: Duration,
}

impl InstanceReader {
    /// A reader of the list at `url`, the base of the service.
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
    /// There is no answer, or it is not a list.
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
            let message = format!("instance list answered {}", reply.status);
            return Err(HttpError::Invalid(message));
        }
        decode_list(&reply.body)
    }
}

/// Decodes the list; rows that cannot be read are skipped and counted.
///
/// # Errors
/// It is not JSON of a list.
pub fn decode_list(body: &[u8]) -> Result<ListSnapshot, HttpError> {
    let list: InstanceList = serde_json::from_slice(body)
        .map_err(|err| HttpError::Invalid(format!("instance list: {err}")))?;
    let mut reading = ListSnapshot {
        members: Vec::with_capacity(list.instances.len()),
        skipped: 0,
        bytes: body.len(),
    };
    for row in list.instances {
        match ListedInstance::deserialize(row) {
            Ok(listed) => reading.members.push(listed.into()),
            Err(_) => reading.skipped += 1,
        }
    }
    Ok(reading)
}
