//! The cluster configuration that operators declare, the changes to it and its validation.

use std::collections::BTreeMap;
use std::fmt;

use crate::ids::{
    ContentDigest, CustomerId, DataCentreId, ModelId, RegionId, RevisionId, ServiceId, UpstreamId,
    VersionId,
};

/// Maximum number of past changes that a configuration contains. They let a change request with a
/// repeated action id be recognised.
pub const MAX_RECENT_CHANGES: usize = 64;
/// Maximum length of the name of a declared item, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum number of data centres, and likewise of models, of upstreams and of customers.
pub const MAX_ITEMS: usize = 4096;

value_type! {
    /// Declaration of a data centre.
    pub struct DataCentreSpec {
        /// Region that the data centre belongs to.
        pub region: RegionId,
        /// Whether operators have taken the data centre out of service.
        pub out: bool,
    }

    /// Declaration of a model or adapter.
    pub struct ModelSpec {
        /// Version of the weights to serve.
        pub version: VersionId,
        /// Number of upstreams that should serve it.
        pub replicas: u32,
        /// Data centres that may serve it; if empty, all of them.
        pub data_centres: Vec<DataCentreId>,
        /// Base model that the adapter extends; `None` if this is a model.
        pub base: Option<ModelId>,
    }

    /// Kind of an upstream.
    pub enum UpstreamKind {
        /// A model engine, which serves one of the declared models.
        Engine,
        /// A replica of the plain service with this name.
        Service(ServiceId),
    }

    /// Declaration of an upstream.
    pub struct UpstreamSpec {
        /// Data centre that the upstream runs in.
        pub data_centre: DataCentreId,
        /// Engine or plain service.
        pub kind: UpstreamKind,
        /// Whether the upstream refuses a load or unload order whose fence number is lower than one
        /// it has accepted.
        pub checks_order_numbers: bool,
        /// Whether the upstream reports its load.
        pub reports_load: bool,
        /// Whether its calls are idempotent: a call may be executed more than once.
        pub may_repeat_calls: bool,
        /// Maximum number of calls in flight during a cold start; at least 1.
        pub cold_limit: u32,
        /// Maximum number of calls in flight once warm; at least `cold_limit`.
        pub warm_limit: u32,
        /// Memory available for weights, in bytes; 0 means no limit.
        pub memory_bytes: u64,
    }

    /// Declaration of a customer.
    pub struct CustomerSpec {
        /// Share of the capacity that the customer gets, relative to the other customers of the
        /// same priority; at least 1.
        pub weight: u32,
        /// Priority; calls of customers with a higher one are served first.
        pub priority: u32,
        /// Digest of the customer's API key; `None` if the customer needs none.
        pub key_digest: Option<ContentDigest>,
    }

    /// A committed change.
    pub struct ChangeRecord {
        /// Revision that the change created.
        pub revision: RevisionId,
        /// Action id that the operator supplied.
        pub action_id: String,
        /// Name of the operator who made it.
        pub operator: String,
        /// One line that describes the change.
        pub summary: String,
        /// Time of the request, in milliseconds since the Unix epoch.
        pub unix_millis: u64,
    }

    /// All that operators declare for the cluster, with the most recent changes to these
    /// declarations.
    #[derive(Default)]
    pub struct ClusterConfig {
        /// Revision of this configuration; 0 before the first commit.
        pub revision: RevisionId,
        /// Data centres by name.
        pub data_centres: BTreeMap<DataCentreId, DataCentreSpec>,
        /// Models by name.
        pub models: BTreeMap<ModelId, ModelSpec>,
        /// Upstreams by name.
        pub upstreams: BTreeMap<UpstreamId, UpstreamSpec>,
        /// Customers by name.
        pub customers: BTreeMap<CustomerId, CustomerSpec>,
        /// The most recent changes, oldest first; at most [`MAX_RECENT_CHANGES`].
        pub recent: Vec<ChangeRecord>,
    }

    /// A change that an operator requests.
    pub enum ConfigChange {
        /// Replaces the data centres, models, upstreams and customers by those of this
        /// configuration; its revision and recent changes are ignored.
        Replace(Box<ClusterConfig>),
        /// Takes a data centre out of service or brings it back.
        SetDataCentre {
            /// Name of the data centre.
            name: DataCentreId,
            /// Whether it is to be out of service.
            out: bool,
        },
        /// Sets the version that a model serves, and optionally its number of replicas.
        Deploy {
            /// Name of the model.
            model: ModelId,
            /// Version of the weights to serve.
            version: VersionId,
            /// New number of replicas; `None` leaves it unchanged.
            replicas: Option<u32>,
        },
    }

    /// A requested change, with its action id and operator.
    pub struct ChangeRequest {
        /// Id of the action; requests with the same id take effect once.
        pub action_id: String,
        /// Name of the operator.
        pub operator: String,
        /// Time of the request, in milliseconds since the Unix epoch.
        pub unix_millis: u64,
        /// The requested change.
        pub change: ConfigChange,
    }

    /// Result of applying a change.
    pub enum ChangeOutcome {
        /// A new configuration, to be committed.
        Changed(Box<ClusterConfig>),
        /// A change with the same action id was committed before, as this revision.
        Repeated(RevisionId),
    }

    /// One validation error of a configuration or change.
    pub struct ConfigError {
        /// Path of the invalid field, such as `models["press"].replicas`.
        pub field: String,
        /// What is wrong with the field.
        pub message: String,
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.message)
    }
}

impl ConfigChange {
    /// Returns one line that describes the change.
    #[must_use]
    pub fn summary(&self) -> String {
        match self {
            Self::Replace(_) => "apply document".to_owned(),
            Self::SetDataCentre { name, out: true } => format!("take data centre \"{name}\" out"),
            Self::SetDataCentre { name, out: false } => format!("bring data centre \"{name}\" in"),
            Self::Deploy { model, version, .. } => {
                format!("deploy model \"{model}\" version \"{version}\"")
            }
        }
    }
}

impl ClusterConfig {
    /// Applies `request` to this configuration and validates the result. A request whose action id
    /// is among the recent changes has no effect.
    ///
    /// # Errors
    /// All validation errors of the result, or the one for the data centre or model that does not
    /// exist.
    pub fn apply(&self, request: &ChangeRequest) -> Result<ChangeOutcome, Vec<ConfigError>> {
        if let Some(record) = self.find_action(&request.action_id) {
            return Ok(ChangeOutcome::Repeated(record.revision));
        }
        let mut next = self.clone();
        next.apply_change(&request.change)
            .map_err(|error| vec![error])?;
        next.revision = self.revision + 1;
        next.recent.push(ChangeRecord {
            revision: next.revision,
            action_id: request.action_id.clone(),
            operator: request.operator.clone(),
            summary: request.change.summary(),
            unix_millis: request.unix_millis,
        });
        let excess = next.recent.len().saturating_sub(MAX_RECENT_CHANGES);
        next.recent.drain(..excess);
        next.check()?;
        Ok(ChangeOutcome::Changed(Box::new(next)))
    }

    /// Finds the recent change that was committed under `action_id`.
    #[must_use]
    pub fn find_action(&self, action_id: &str) -> Option<&ChangeRecord> {
        self.recent
            .iter()
            .find(|record| record.action_id == action_id)
    }

    /// Whether `data_centre` is in service, that is, declared and not taken out.
    #[must_use]
    pub fn is_in_service(&self, data_centre: &str) -> bool {
        self.data_centres
            .get(data_centre)
            .is_some_and(|spec| !spec.out)
    }

    fn apply_change(&mut self, change: &ConfigChange) -> Result<(), ConfigError> {
        match change {
            ConfigChange::Replace(document) => self.replace_declarations(document),
            ConfigChange::SetDataCentre { name, out } => {
                let spec = self
                    .data_centres
                    .get_mut(name)
                    .ok_or_else(|| not_found_error("data centre", name))?;
                spec.out = *out;
            }
            ConfigChange::Deploy {
                model,
                version,
                replicas,
            } => {
                let spec = self
                    .models
                    .get_mut(model)
                    .ok_or_else(|| not_found_error("model", model))?;
                spec.version.clone_from(version);
                spec.replicas = replicas.unwrap_or(spec.replicas);
            }
        }
        Ok(())
    }

    fn replace_declarations(&mut self, document: &ClusterConfig) {
        self.data_centres.clone_from(&document.data_centres);
        self.models.clone_from(&document.models);
        self.upstreams.clone_from(&document.upstreams);
        self.customers.clone_from(&document.customers);
    }

    /// Validates the whole configuration.
    ///
    /// # Errors
    /// All validation errors found.
    pub fn check(&self) -> Result<(), Vec<ConfigError>> {
        let mut errors = Vec::new();
        self.check_counts(&mut errors);
        self.check_data_centres(&mut errors);
        self.check_models(&mut errors);
        self.check_upstreams(&mut errors);
        self.check_customers(&mut errors);
        if errors.is_empty() {
            return Ok(());
        }
        Err(errors)
    }

    fn check_counts(&self, errors: &mut Vec<ConfigError>) {
        let counts = [
            ("data_centres", self.data_centres.len()),
            ("models", self.models.len()),
            ("upstreams", self.upstreams.len()),
            ("customers", self.customers.len()),
        ];
        for (field, count) in counts {
            if count <= MAX_ITEMS {
                continue;
            }
            let message = format!("{count} items; at most {MAX_ITEMS} are allowed");
            push_error(errors, field.to_owned(), message);
        }
    }

    fn check_data_centres(&self, errors: &mut Vec<ConfigError>) {
        for (name, spec) in &self.data_centres {
            let field = format!("data_centres[\"{name}\"]");
            check_name(errors, &field, name);
            check_name(errors, &format!("{field}.region"), &spec.region);
        }
    }

    fn check_models(&self, errors: &mut Vec<ConfigError>) {
        for (name, spec) in &self.models {
            let field = format!("models[\"{name}\"]");
            check_name(errors, &field, name);
            check_name(errors, &format!("{field}.version"), &spec.version);
            for centre in &spec.data_centres {
                self.check_data_centre(errors, &format!("{field}.data_centres"), centre);
            }
            let Some(base) = &spec.base else {
                continue;
            };
            if !self.models.contains_key(base) || base == name {
                let message = format!("model \"{base}\" does not exist or is the adapter itself");
                push_error(errors, format!("{field}.base"), message);
            }
        }
    }

    fn check_upstreams(&self, errors: &mut Vec<ConfigError>) {
        for (name, spec) in &self.upstreams {
            let field = format!("upstreams[\"{name}\"]");
            check_name(errors, &field, name);
            self.check_data_centre(errors, &format!("{field}.data_centre"), &spec.data_centre);
            if let UpstreamKind::Service(service) = &spec.kind {
                check_name(errors, &format!("{field}.service"), service);
            }
            if spec.cold_limit == 0 {
                push_error(
                    errors,
                    format!("{field}.cold_limit"),
                    "must be at least 1".into(),
                );
            }
            if spec.warm_limit < spec.cold_limit {
                let message = format!(
                    "{} is below cold_limit, which is {}",
                    spec.warm_limit, spec.cold_limit
                );
                push_error(errors, format!("{field}.warm_limit"), message);
            }
        }
    }

    fn check_customers(&self, errors: &mut Vec<ConfigError>) {
        for (name, spec) in &self.customers {
            let field = format!("customers[\"{name}\"]");
            check_name(errors, &field, name);
            if spec.weight == 0 {
                push_error(
                    errors,
                    format!("{field}.weight"),
                    "must be at least 1".into(),
                );
            }
        }
    }

    fn check_data_centre(&self, errors: &mut Vec<ConfigError>, field: &str, name: &str) {
        if self.data_centres.contains_key(name) {
            return;
        }
        let message = format!("data centre \"{name}\" does not exist");
        push_error(errors, field.to_owned(), message);
    }
}

fn not_found_error(kind: &str, name: &str) -> ConfigError {
    ConfigError {
        field: kind.replace(' ', "_"),
        message: format!("{kind} \"{name}\" does not exist"),
    }
}

fn push_error(errors: &mut Vec<ConfigError>, field: String, message: String) {
    errors.push(ConfigError { field, message });
}

fn check_name(errors: &mut Vec<ConfigError>, field: &str, name: &str) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed) {
        return;
    }
    let message =
        format!("\"{name}\" is not a name: 1 to {MAX_NAME_BYTES} letters, digits and \"-_.:\"");
    push_error(errors, field.to_owned(), message);
}
