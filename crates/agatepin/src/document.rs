//! The document in which operators declare the configuration, in TOML.

use std::collections::BTreeMap;

use agatepin_core::config::{ClusterConfig, ConfigError};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use toml::{Table, Value};

use crate::rpc;

agatepin_core::value_type! {
    /// Everything that one document declares.
    #[derive(Default, Serialize)]
    pub struct ConfigDocument {
        /// Data centres by name.
        pub data_centres: BTreeMap<String, CentreEntry>,
        /// Models by name.
        pub models: BTreeMap<String, ModelEntry>,
        /// Upstreams by name.
        pub upstreams: BTreeMap<String, UpstreamEntry>,
        /// Customers by name.
        pub customers: BTreeMap<String, CustomerAccount>,
    }

    /// A data centre.
    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct CentreEntry {
        /// Region that it lies in.
        pub region: String,
        /// Taken out of service.
        #[serde(default)]
        pub out: bool,
    }

    /// A model or adapter.
    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct ModelEntry {
        /// Version to serve.
        pub version: String,
        /// Number of upstreams that serve it.
        pub replicas: u32,
        /// Data centres that may serve it; all where empty.
        #[serde(default)]
        pub data_centres: Vec<String>,
        /// Base model of an adapter.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub base: String,
    }

    /// What an upstream is.
    #[derive(Copy, Serialize, Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum EntryKind {
        /// A model engine.
        Engine,
        /// A plain service.
        Service,
    }

    /// An upstream.
    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct UpstreamEntry {
        /// Data centre that it runs in.
        pub data_centre: String,
        /// Engine or plain service.
        pub kind: EntryKind,
        /// Service that a plain upstream offers.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub service: String,
        /// It refuses an order with an old number.
        #[serde(default)]
        pub checks_order_numbers: bool,
        /// It reports its load.
        #[serde(default)]
        pub reports_load: bool,
        /// Its calls may be repeated.
        #[serde(default)]
        pub may_repeat_calls: bool,
        /// Most calls in flight in cold start.
        pub cold_limit: u32,
        /// Most calls in flight when warm.
        pub warm_limit: u32,
        /// Memory for weights in bytes; 0 where not limited.
        #[serde(default)]
        pub memory_bytes: u64,
    }

    /// A customer.
    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct CustomerAccount {
        /// Share relative to the other customers.
        pub weight: u32,
        /// Higher goes first.
        #[serde(default)]
        pub priority: u32,
        /// BLAKE3 digest of the customer's key in hexadecimal.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub key_digest: String,
    }
}

/// Parses and checks a document.
///
/// # Errors
/// Every fault that was found.
pub fn parse(text: &str) -> Result<rpc::ClusterConfig, Vec<ConfigError>> {
    let mut table: Table = text
        .parse()
        .map_err(|err: toml::de::Error| vec![fault("document", &err)])?;
    let mut faults = Vec::new();
    let document = ConfigDocument {
        data_centres: take(&mut table, "data_centres", &mut faults),
        models: take(&mut table, "models", &mut faults),
        upstreams: take(&mut table, "upstreams", &mut faults),
        customers: take(&mut table, "customers", &mut faults),
    };
    for name in table.keys() {
        faults.push(fault(name, &"unknown table"));
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    let message = rpc::ClusterConfig::from(document);
    ClusterConfig::try_from(message.clone())?.check()?;
    Ok(message)
}

fn take<Entry>(
    table: &mut Table,
    kind: &str,
    faults: &mut Vec<ConfigError>,
) -> BTreeMap<String, Entry>
where
    Entry: DeserializeOwned,
{
    let mut entries = BTreeMap::new();
    let items = match table.remove(kind) {
        None => return entries,
        Some(Value::Table(items)) => items,
        Some(_) => {
            faults.push(fault(kind, &"is not a table"));
            return entries;
        }
    };
    for (name, value) in items {
        match value.try_into() {
            Ok(entry) => {
                entries.insert(name, entry);
            }
            Err(err) => faults.push(fault(&format!("{kind}[\"{name}\"]"), &err)),
        }
    }
    entries
}

fn fault<Message>(field: &str, message: &Message) -> ConfigError
where
    Message: ToString,
{
    ConfigError {
        field: field.to_owned(),
        message: message.to_string().trim_end().replace('\n', " "),
    }
}

impl From<ConfigDocument> for rpc::ClusterConfig {
    fn from(document: ConfigDocument) -> Self {
        Self {
            revision: 0,
            data_centres: document.data_centres.into_iter().map(Into::into).collect(),
            models: document.models.into_iter().map(Into::into).collect(),
            upstreams: document.upstreams.into_iter().map(Into::into).collect(),
            customers: document.customers.into_iter().map(Into::into).collect(),
            recent: Vec::new(),
        }
    }
}

impl From<(String, CentreEntry)> for rpc::DataCentreSpec {
    fn from((name, entry): (String, CentreEntry)) -> Self {
        Self {
            name,
            region: entry.region,
            out: entry.out,
        }
    }
}

impl From<(String, ModelEntry)> for rpc::ModelSpec {
    fn from((name, entry): (String, ModelEntry)) -> Self {
        Self {
            name,
            version: entry.version,
            replicas: entry.replicas,
            data_centres: entry.data_centres,
            base: entry.base,
        }
    }
}

impl From<(String, UpstreamEntry)> for rpc::UpstreamSpec {
    fn from((name, entry): (String, UpstreamEntry)) -> Self {
        let kind = match entry.kind {
            EntryKind::Engine => rpc::UpstreamKind::Engine,
            EntryKind::Service => rpc::UpstreamKind::Service,
        };
        Self {
            name,
            data_centre: entry.data_centre,
            kind: kind.into(),
            service: entry.service,
            checks_order_numbers: entry.checks_order_numbers,
            reports_load: entry.reports_load,
            may_repeat_calls: entry.may_repeat_calls,
            cold_limit: entry.cold_limit,
            warm_limit: entry.warm_limit,
            memory_bytes: entry.memory_bytes,
        }
    }
}

impl From<(String, CustomerAccount)> for rpc::CustomerSpec {
    fn from((name, entry): (String, CustomerAccount)) -> Self {
        Self {
            name,
            weight: entry.weight,
            priority: entry.priority,
            key_digest: entry.key_digest,
        }
    }
}

impl From<rpc::ClusterConfig> for ConfigDocument {
    fn from(message: rpc::ClusterConfig) -> Self {
        Self {
            data_centres: message.data_centres.into_iter().map(Into::into).collect(),
            models: message.models.into_iter().map(Into::into).collect(),
            upstreams: message.upstreams.into_iter().map(Into::into).collect(),
            customers: message.customers.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<rpc::DataCentreSpec> for (String, CentreEntry) {
    fn from(message: rpc::DataCentreSpec) -> Self {
        let entry = CentreEntry {
            region: message.region,
            out: message.out,
        };
        (message.name, entry)
    }
}

impl From<rpc::ModelSpec> for (String, ModelEntry) {
    fn from(message: rpc::ModelSpec) -> Self {
        let entry = ModelEntry {
            version: message.version,
            replicas: message.replicas,
            data_centres: message.data_centres,
            base: message.base,
        };
        (message.name, entry)
    }
}

impl From<rpc::UpstreamSpec> for (String, UpstreamEntry) {
    fn from(message: rpc::UpstreamSpec) -> Self {
        let kind = match message.kind() {
            rpc::UpstreamKind::Service => EntryKind::Service,
            rpc::UpstreamKind::Engine | rpc::UpstreamKind::Unspecified => EntryKind::Engine,
        };
        let entry = UpstreamEntry {
            data_centre: message.data_centre,
            kind,
            service: message.service,
            checks_order_numbers: message.checks_order_numbers,
            reports_load: message.reports_load,
            may_repeat_calls: message.may_repeat_calls,
            cold_limit: message.cold_limit,
            warm_limit: message.warm_limit,
            memory_bytes: message.memory_bytes,
        };
        (message.name, entry)
    }
}

impl From<rpc::CustomerSpec> for (String, CustomerAccount) {
    fn from(message: rpc::CustomerSpec) -> Self {
        let entry = CustomerAccount {
            weight: message.weight,
            priority: message.priority,
            key_digest: message.key_digest,
        };
        (message.name, entry)
    }
}
