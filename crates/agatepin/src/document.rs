//! TOML document in which operators declare the configuration, and its conversion to RPC messages.

use std::collections::BTreeMap;

use agatepin_core::config::{ClusterConfig, ConfigError};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use toml::{Table, Value};

use crate::rpc;

agatepin_core::value_type! {
    /// All declarations of a document.
    #[derive(Default, Serialize)]
    pub struct ConfigDocument {
        /// Data centres by name.
        pub data_centres: BTreeMap<String, DeclaredDataCentre>,
        /// Models by name.
        pub models: BTreeMap<String, DeclaredModel>,
        /// Upstreams by name.
        pub upstreams: BTreeMap<String, DeclaredUpstream>,
        /// Customers by name.
        pub customers: BTreeMap<String, DeclaredCustomer>,
    }

    /// Declaration of a data centre.
    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct DeclaredDataCentre {
        /// Region that the data centre belongs to.
        pub region: String,
        /// Whether operators have taken it out of service.
        #[serde(default)]
        pub out: bool,
    }

    /// Declaration of a model or adapter.
    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct DeclaredModel {
        /// Version to serve.
        pub version: String,
        /// Number of upstreams that serve the model.
        pub replicas: u32,
        /// Data centres that may serve the model; an empty list allows all data centres.
        #[serde(default)]
        pub data_centres: Vec<String>,
        /// Base model of an adapter; empty for a model that is not an adapter.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub base: String,
    }

    /// What an upstream runs.
    #[derive(Copy, Serialize, Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum DeclaredKind {
        /// A model engine.
        Engine,
        /// A plain service.
        Service,
    }

    /// Declaration of an upstream.
    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct DeclaredUpstream {
        /// Data centre that the upstream runs in.
        pub data_centre: String,
        /// Whether the upstream is a model engine or a plain service.
        pub kind: DeclaredKind,
        /// Name of the service that a plain service offers; empty for an engine.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub service: String,
        /// Whether the upstream refuses a load or unload order whose fence number (a fencing token)
        /// is lower than one that it has accepted.
        #[serde(default)]
        pub checks_order_numbers: bool,
        /// Whether the upstream reports its load.
        #[serde(default)]
        pub reports_load: bool,
        /// Whether a call to the upstream may be executed more than once.
        #[serde(default)]
        pub may_repeat_calls: bool,
        /// Maximum number of calls in flight during a cold start; at least 1.
        pub cold_limit: u32,
        /// Maximum number of calls in flight once warm; at least `cold_limit`.
        pub warm_limit: u32,
        /// Maximum memory for weights, in bytes; 0 for no limit.
        #[serde(default)]
        pub memory_bytes: u64,
    }

    /// Declaration of a customer.
    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct DeclaredCustomer {
        /// Share of the capacity, relative to the weights of the other customers; at least 1.
        pub weight: u32,
        /// Priority; calls of customers with a higher one are served first.
        #[serde(default)]
        pub priority: u32,
        /// BLAKE3 digest of the customer's API key, in hexadecimal; empty if the customer has none.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub key_digest: String,
    }
}

/// Parses and validates a document.
///
/// # Errors
/// The text is not TOML, or declarations are invalid. All errors that one step finds are returned:
/// the declarations are validated only if all of them have been parsed.
pub fn parse(text: &str) -> Result<rpc::ClusterConfig, Vec<ConfigError>> {
    let mut table: Table = text
        .parse()
        .map_err(|err: toml::de::Error| vec![config_error("document", &err)])?;
    let mut errors = Vec::new();
    let document = ConfigDocument {
        data_centres: take_table(&mut table, "data_centres", &mut errors),
        models: take_table(&mut table, "models", &mut errors),
        upstreams: take_table(&mut table, "upstreams", &mut errors),
        customers: take_table(&mut table, "customers", &mut errors),
    };
    for name in table.keys() {
        errors.push(config_error(name, &"unknown table"));
    }
    if !errors.is_empty() {
        return Err(errors);
    }
    let message = rpc::ClusterConfig::from(document);
    ClusterConfig::try_from(message.clone())?.check()?;
    Ok(message)
}

/// Removes the table `kind` from the document and parses its items; adds an error to `errors` for
/// each item that cannot be parsed.
fn take_table<Declaration>(
    table: &mut Table,
    kind: &str,
    errors: &mut Vec<ConfigError>,
) -> BTreeMap<String, Declaration>
where
    Declaration: DeserializeOwned,
{
    let mut declarations = BTreeMap::new();
    let items = match table.remove(kind) {
        None => return declarations,
        Some(Value::Table(items)) => items,
        Some(_) => {
            errors.push(config_error(kind, &"is not a table"));
            return declarations;
        }
    };
    for (name, value) in items {
        match value.try_into() {
            Ok(declaration) => {
                declarations.insert(name, declaration);
            }
            Err(err) => errors.push(config_error(&format!("{kind}[\"{name}\"]"), &err)),
        }
    }
    declarations
}

fn config_error<Message>(field: &str, message: &Message) -> ConfigError
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

impl From<(String, DeclaredDataCentre)> for rpc::DataCentreSpec {
    fn from((name, declaration): (String, DeclaredDataCentre)) -> Self {
        Self {
            name,
            region: declaration.region,
            out: declaration.out,
        }
    }
}

impl From<(String, DeclaredModel)> for rpc::ModelSpec {
    fn from((name, declaration): (String, DeclaredModel)) -> Self {
        Self {
            name,
            version: declaration.version,
            replicas: declaration.replicas,
            data_centres: declaration.data_centres,
            base: declaration.base,
        }
    }
}

impl From<(String, DeclaredUpstream)> for rpc::UpstreamSpec {
    fn from((name, declaration): (String, DeclaredUpstream)) -> Self {
        let kind = match declaration.kind {
            DeclaredKind::Engine => rpc::UpstreamKind::Engine,
            DeclaredKind::Service => rpc::UpstreamKind::Service,
        };
        Self {
            name,
            data_centre: declaration.data_centre,
            kind: kind.into(),
            service: declaration.service,
            checks_order_numbers: declaration.checks_order_numbers,
            reports_load: declaration.reports_load,
            may_repeat_calls: declaration.may_repeat_calls,
            cold_limit: declaration.cold_limit,
            warm_limit: declaration.warm_limit,
            memory_bytes: declaration.memory_bytes,
        }
    }
}

impl From<(String, DeclaredCustomer)> for rpc::CustomerSpec {
    fn from((name, declaration): (String, DeclaredCustomer)) -> Self {
        Self {
            name,
            weight: declaration.weight,
            priority: declaration.priority,
            key_digest: declaration.key_digest,
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

impl From<rpc::DataCentreSpec> for (String, DeclaredDataCentre) {
    fn from(message: rpc::DataCentreSpec) -> Self {
        let declaration = DeclaredDataCentre {
            region: message.region,
            out: message.out,
        };
        (message.name, declaration)
    }
}

impl From<rpc::ModelSpec> for (String, DeclaredModel) {
    fn from(message: rpc::ModelSpec) -> Self {
        let declaration = DeclaredModel {
            version: message.version,
            replicas: message.replicas,
            data_centres: message.data_centres,
            base: message.base,
        };
        (message.name, declaration)
    }
}

impl From<rpc::UpstreamSpec> for (String, DeclaredUpstream) {
    fn from(message: rpc::UpstreamSpec) -> Self {
        let kind = match message.kind() {
            rpc::UpstreamKind::Service => DeclaredKind::Service,
            rpc::UpstreamKind::Engine | rpc::UpstreamKind::Unspecified => DeclaredKind::Engine,
        };
        let declaration = DeclaredUpstream {
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
        (message.name, declaration)
    }
}

impl From<rpc::CustomerSpec> for (String, DeclaredCustomer) {
    fn from(message: rpc::CustomerSpec) -> Self {
        let declaration = DeclaredCustomer {
            weight: message.weight,
            priority: message.priority,
            key_digest: message.key_digest,
        };
        (message.name, declaration)
    }
}
