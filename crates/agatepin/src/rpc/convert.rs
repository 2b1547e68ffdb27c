//! Conversions between the cluster configuration of the core crate and its RPC messages.

use std::collections::BTreeMap;

use agatepin_core::config::{
    ChangeRecord, ClusterConfig, ConfigError, CustomerSpec, DataCentreSpec, ModelSpec,
    UpstreamKind, UpstreamSpec,
};
use agatepin_core::ids::ContentDigest;

use crate::rpc;

/// All errors found in one message.
pub type ConfigErrors = Vec<ConfigError>;

impl From<&ClusterConfig> for rpc::ClusterConfig {
    fn from(config: &ClusterConfig) -> Self {
        Self {
            revision: config.revision,
            data_centres: config.data_centres.iter().map(Into::into).collect(),
            models: config.models.iter().map(Into::into).collect(),
            upstreams: config.upstreams.iter().map(Into::into).collect(),
            customers: config.customers.iter().map(Into::into).collect(),
            recent: config.recent.iter().map(Into::into).collect(),
        }
    }
}

impl From<(&String, &DataCentreSpec)> for rpc::DataCentreSpec {
    fn from((name, spec): (&String, &DataCentreSpec)) -> Self {
        Self {
            name: name.clone(),
            region: spec.region.clone(),
            out: spec.out,
        }
    }
}

impl From<(&String, &ModelSpec)> for rpc::ModelSpec {
    fn from((name, spec): (&String, &ModelSpec)) -> Self {
        Self {
            name: name.clone(),
            version: spec.version.clone(),
            replicas: spec.replicas,
            data_centres: spec.data_centres.clone(),
            base: spec.base.clone().unwrap_or_default(),
        }
    }
}

impl From<(&String, &UpstreamSpec)> for rpc::UpstreamSpec {
    fn from((name, spec): (&String, &UpstreamSpec)) -> Self {
        let (kind, service) = match &spec.kind {
            UpstreamKind::Engine => (rpc::UpstreamKind::Engine, String::new()),
            UpstreamKind::Service(service) => (rpc::UpstreamKind::Service, service.clone()),
        };
        Self {
            name: name.clone(),
            data_centre: spec.data_centre.clone(),
            kind: kind.into(),
            service,
            checks_order_numbers: spec.checks_order_numbers,
            reports_load: spec.reports_load,
            may_repeat_calls: spec.may_repeat_calls,
            cold_limit: spec.cold_limit,
            warm_limit: spec.warm_limit,
            memory_bytes: spec.memory_bytes,
        }
    }
}

impl From<(&String, &CustomerSpec)> for rpc::CustomerSpec {
    fn from((name, spec): (&String, &CustomerSpec)) -> Self {
        Self {
            name: name.clone(),
            weight: spec.weight,
            priority: spec.priority,
            key_digest: spec
                .key_digest
                .map(|digest| digest.to_string())
                .unwrap_or_default(),
        }
    }
}

impl From<&ChangeRecord> for rpc::ChangeRecord {
    fn from(record: &ChangeRecord) -> Self {
        Self {
            revision: record.revision,
            action_id: record.action_id.clone(),
            operator: record.operator.clone(),
            summary: record.summary.clone(),
            unix_millis: record.unix_millis,
        }
    }
}

impl From<rpc::ChangeRecord> for ChangeRecord {
    fn from(record: rpc::ChangeRecord) -> Self {
        Self {
            revision: record.revision,
            action_id: record.action_id,
            operator: record.operator,
            summary: record.summary,
            unix_millis: record.unix_millis,
        }
    }
}

impl TryFrom<rpc::ClusterConfig> for ClusterConfig {
    type Error = ConfigErrors;

    /// Converts a message, and checks only that its fields can be converted and that names are
    /// unique; [`ClusterConfig::check`] validates the configuration itself.
    fn try_from(message: rpc::ClusterConfig) -> Result<Self, Self::Error> {
        let mut reader = ConfigReader::default();
        let config = Self {
            revision: message.revision,
            data_centres: reader.read_data_centres(message.data_centres),
            models: reader.read_models(message.models),
            upstreams: reader.read_upstreams(message.upstreams),
            customers: reader.read_customers(message.customers),
            recent: message.recent.into_iter().map(Into::into).collect(),
        };
        if reader.errors.is_empty() {
            return Ok(config);
        }
        Err(reader.errors)
    }
}

/// Converts the parts of one message and collects the errors found in them.
#[derive(Debug, Default)]
struct ConfigReader {
    /// Errors found so far.
    errors: ConfigErrors,
}

impl ConfigReader {
    fn read_data_centres(
        &mut self,
        messages: Vec<rpc::DataCentreSpec>,
    ) -> BTreeMap<String, DataCentreSpec> {
        let mut specs = BTreeMap::new();
        for message in messages {
            let spec = DataCentreSpec {
                region: message.region,
                out: message.out,
            };
            self.insert(&mut specs, "data_centres", message.name, spec);
        }
        specs
    }

    fn read_models(&mut self, messages: Vec<rpc::ModelSpec>) -> BTreeMap<String, ModelSpec> {
        let mut specs = BTreeMap::new();
        for message in messages {
            let spec = ModelSpec {
                version: message.version,
                replicas: message.replicas,
                data_centres: message.data_centres,
                base: Some(message.base).filter(|base| !base.is_empty()),
            };
            self.insert(&mut specs, "models", message.name, spec);
        }
        specs
    }

    fn read_upstreams(
        &mut self,
        messages: Vec<rpc::UpstreamSpec>,
    ) -> BTreeMap<String, UpstreamSpec> {
        let mut specs = BTreeMap::new();
        for message in messages {
            let Some(kind) = self.read_kind(&message) else {
                continue;
            };
            let spec = UpstreamSpec {
                data_centre: message.data_centre,
                kind,
                checks_order_numbers: message.checks_order_numbers,
                reports_load: message.reports_load,
                may_repeat_calls: message.may_repeat_calls,
                cold_limit: message.cold_limit,
                warm_limit: message.warm_limit,
                memory_bytes: message.memory_bytes,
            };
            self.insert(&mut specs, "upstreams", message.name, spec);
        }
        specs
    }

    fn read_kind(&mut self, message: &rpc::UpstreamSpec) -> Option<UpstreamKind> {
        match message.kind() {
            rpc::UpstreamKind::Engine if message.service.is_empty() => Some(UpstreamKind::Engine),
            rpc::UpstreamKind::Engine => {
                let field = item_field("upstreams", &message.name, "service");
                self.push(field, "must be empty for an engine".to_owned());
                None
            }
            rpc::UpstreamKind::Service => Some(UpstreamKind::Service(message.service.clone())),
            rpc::UpstreamKind::Unspecified => {
                let field = item_field("upstreams", &message.name, "kind");
                self.push(field, format!("{} is not a kind of upstream", message.kind));
                None
            }
        }
    }

    fn read_customers(
        &mut self,
        messages: Vec<rpc::CustomerSpec>,
    ) -> BTreeMap<String, CustomerSpec> {
        let mut specs = BTreeMap::new();
        for message in messages {
            let spec = CustomerSpec {
                weight: message.weight,
                priority: message.priority,
                key_digest: self.read_digest(&message),
            };
            self.insert(&mut specs, "customers", message.name, spec);
        }
        specs
    }

    fn read_digest(&mut self, message: &rpc::CustomerSpec) -> Option<ContentDigest> {
        if message.key_digest.is_empty() {
            return None;
        }
        let digest = ContentDigest::from_hex(&message.key_digest);
        if digest.is_none() {
            let field = item_field("customers", &message.name, "key_digest");
            let text = &message.key_digest;
            self.push(field, format!("\"{text}\" is not a BLAKE3 digest"));
        }
        digest
    }

    /// Adds `spec` under `name`; records an error instead if `specs` already has an
    /// item of this name. `kind` is the name of the table in errors, such as `upstreams`.
    fn insert<Spec>(
        &mut self,
        specs: &mut BTreeMap<String, Spec>,
        kind: &str,
        name: String,
        spec: Spec,
    ) {
        if specs.contains_key(&name) {
            let field = format!("{kind}[\"{name}\"]");
            self.push(field, "is declared twice".to_owned());
            return;
        }
        specs.insert(name, spec);
    }

    fn push(&mut self, field: String, message: String) {
        self.errors.push(ConfigError { field, message });
    }
}

/// Path of a field of a named item, as in `upstreams["name"].kind`.
fn item_field(kind: &str, name: &str, field: &str) -> String {
    format!("{kind}[\"{name}\"].{field}")
}
