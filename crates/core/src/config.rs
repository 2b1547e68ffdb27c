//! The cluster configuration that operators declare, and the changes to it.

use std::collections::BTreeMap;
use std::fmt;

use crate::ids::{
    ContentDigest, CustomerId, DataCentreId, ModelId, RegionId, RevisionId, ServiceId, UpstreamId,
    VersionId,
};

/// Changes that a configuration remembers, to recognise a repeated action id.
pub const MAX_RECENT_CHANGES: usize = 64;
/// Longest name of anything declared, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Most items of one kind.
pub const MAX_ITEMS: usize = 4096;

value_type! {
    /// A data centre.
    pub struct DataCentreSpec {
        /// Region that it lies in.
        pub region: RegionId,
        /// Taken out of service by operators.
        pub out: bool,
    }

    /// A model or adapter.
    pub struct ModelSpec {
        /// Version to serve.
        pub version: VersionId,
        /// Number of upstreams that serve it.
        pub replicas: u32,
        /// Data centres that may serve it; all where empty.
        pub data_centres: Vec<DataCentreId>,
        /// Base model of an adapter.
        pub base: Option<ModelId>,
    }

    /// What an upstream is.
    pub enum UpstreamKind {
        /// A model engine.
        Engine,
        /// A plain service.
        Service(ServiceId),
    }

    /// An upstream.
    pub struct UpstreamSpec {
        /// Data centre that it runs in.
        pub data_centre: DataCentreId,
        /// Engine or plain service.
        pub kind: UpstreamKind,
        /// It refuses an order with an old number.
        pub checks_order_numbers: bool,
        /// It reports its load.
        pub reports_load: bool,
        /// Its calls may be repeated.
        pub may_repeat_calls: bool,
        /// Most calls in flight that it bears in cold start.
        pub cold_limit: u32,
        /// Most calls in flight when warm.
        pub warm_limit: u32,
        /// Memory for weights in bytes; 0 where not limited.
        pub memory_bytes: u64,
    }

    /// A customer.
    pub struct CustomerSpec {
        /// Share relative to the other customers.
        pub weight: u32,
        /// Higher goes first.
        pub priority: u32,
        /// Digest of the customer's key.
        pub key_digest: Option<ContentDigest>,
    }

    /// A committed change.
    pub struct ChangeRecord {
        /// Revision that it made.
        pub revision: RevisionId,
        /// Id that the operator gave it.
        pub action_id: String,
        /// Who made it.
        pub operator: String,
        /// What it did.
        pub summary: String,
        /// When it was committed, in milliseconds since the Unix epoch.
        pub unix_millis: u64,
    }

    /// Everything that operators declare.
    #[derive(Default)]
    pub struct ClusterConfig {
        /// Number of this configuration.
        pub revision: RevisionId,
        /// Data centres by name.
        pub data_centres: BTreeMap<DataCentreId, DataCentreSpec>,
        /// Models by name.
        pub models: BTreeMap<ModelId, ModelSpec>,
        /// Upstreams by name.
        pub upstreams: BTreeMap<UpstreamId, UpstreamSpec>,
        /// Customers by name.
        pub customers: BTreeMap<CustomerId, CustomerSpec>,
        /// The latest changes, oldest first.
        pub recent: Vec<ChangeRecord>,
    }

    /// A change that an operator asks for.
    pub enum ConfigChange {
        /// Replaces all that is declared.
        Replace(Box<ClusterConfig>),
        /// Takes a data centre out or brings it back.
        SetDataCentre {
            /// Its name.
            name: DataCentreId,
            /// Out of service.
            out: bool,
        },
        /// Sets a model's version.
        Deploy {
            /// Its name.
            model: ModelId,
            /// New version.
            version: VersionId,
            /// New number of replicas.
            replicas: Option<u32>,
        },
    }

    /// Who asks for a change and under which id.
    pub struct ChangeRequest {
        /// Id of the action; the same id takes effect once.
        pub action_id: String,
        /// Operator's name.
        pub operator: String,
        /// Time of the request, in milliseconds since the Unix epoch.
        pub unix_millis: u64,
        /// The change.
        pub change: ConfigChange,
    }

    /// What applying a change gives.
    pub enum ChangeOutcome {
        /// A new configuration, to be committed.
        Changed(Box<ClusterConfig>),
        /// The action had been committed as this revision.
        Repeated(RevisionId),
    }

    /// One thing that is wrong with a configuration or change.
    pub struct ConfigError {
        /// Path of the field, such as `models["press"].replicas`.
        pub field: String,
        /// What is wrong with it.
        pub message: String,
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.message)
    }
}

impl ConfigChange {
    /// One line that says what the change does.
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
    /// Applies `request` to this configuration.
    ///
    /// # Errors
    /// Every fault of the result, or the name that does not exist.
    pub fn apply(&self, request: &ChangeRequest) -> Result<ChangeOutcome, Vec<ConfigError>> {
        if let Some(record) = self.find_action(&request.action_id) {
            return Ok(ChangeOutcome::Repeated(record.revision));
        }
        let mut next = self.clone();
        next.change(&request.change).map_err(|fault| vec![fault])?;
        next.revision = self.revision + 1;
        next.recent.push(ChangeRecord {
            revision: next.revision,
            action_id: request.action_id.clone(),
            operator: request.operator.clone(),
            summary: request.change.summary(),
            unix_millis: request.unix_millis,
        });
        let surplus = next.recent.len().saturating_sub(MAX_RECENT_CHANGES);
        next.recent.drain(..surplus);
        next.check()?;
        Ok(ChangeOutcome::Changed(Box::new(next)))
    }

    /// Finds the change that was committed under `action_id`.
    #[must_use]
    pub fn find_action(&self, action_id: &str) -> Option<&ChangeRecord> {
        self.recent
            .iter()
            .find(|record| record.action_id == action_id)
    }

    /// Whether `data_centre` serves: it is declared and not taken out.
    #[must_use]
    pub fn is_in_service(&self, data_centre: &str) -> bool {
        self.data_centres
            .get(data_centre)
            .is_some_and(|spec| !spec.out)
    }

    fn change(&mut self, change: &ConfigChange) -> Result<(), ConfigError> {
        match change {
            ConfigChange::Replace(document) => self.replace(document),
            ConfigChange::SetDataCentre { name, out } => {
                let spec = self
                    .data_centres
                    .get_mut(name)
                    .ok_or_else(|| missing("data centre", name))?;
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
                    .ok_or_else(|| missing("model", model))?;
                spec.version.clone_from(version);
                spec.replicas = replicas.unwrap_or(spec.replicas);
            }
        }
        Ok(())
    }

    fn replace(&mut self, document: &ClusterConfig) {
        self.data_centres.clone_from(&document.data_centres);
        self.models.clone_from(&document.models);
        self.upstreams.clone_from(&document.upstreams);
        self.customers.clone_from(&document.customers);
    }

    /// Checks the whole configuration.
    ///
    /// # Errors
    /// Every fault that was found.
    pub fn check(&self) -> Result<(), Vec<ConfigError>> {
        let mut faults = Vec::new();
        self.check_counts(&mut faults);
        self.check_data_centres(&mut faults);
        self.check_models(&mut faults);
        self.check_upstreams(&mut faults);
        self.check_customers(&mut faults);
        if faults.is_empty() {
            return Ok(());
        }
        Err(faults)
    }

    fn check_counts(&self, faults: &mut Vec<ConfigError>) {
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
            push(faults, field.to_owned(), message);
        }
    }

    fn check_data_centres(&self, faults: &mut Vec<ConfigError>) {
        for (name, spec) in &self.data_centres {
            let field = format!("data_centres[\"{name}\"]");
            check_name(faults, &field, name);
            check_name(faults, &format!("{field}.region"), &spec.region);
        }
    }

    fn check_models(&self, faults: &mut Vec<ConfigError>) {
        for (name, spec) in &self.models {
            let field = format!("models[\"{name}\"]");
            check_name(faults, &field, name);
            check_name(faults, &format!("{field}.version"), &spec.version);
            for centre in &spec.data_centres {
                self.check_data_centre(faults, &format!("{field}.data_centres"), centre);
            }
            let Some(base) = &spec.base else {
                continue;
            };
            if !self.models.contains_key(base) || base == name {
                let message = format!("model \"{base}\" does not exist or is the adapter itself");
                push(faults, format!("{field}.base"), message);
            }
        }
    }

    fn check_upstreams(&self, faults: &mut Vec<ConfigError>) {
        for (name, spec) in &self.upstreams {
            let field = format!("upstreams[\"{name}\"]");
            check_name(faults, &field, name);
            self.check_data_centre(faults, &format!("{field}.data_centre"), &spec.data_centre);
            if let UpstreamKind::Service(service) = &spec.kind {
                check_name(faults, &format!("{field}.service"), service);
            }
            if spec.cold_limit == 0 {
                push(
                    faults,
                    format!("{field}.cold_limit"),
                    "must be at least 1".into(),
                );
            }
            if spec.warm_limit < spec.cold_limit {
                let message = format!(
                    "{} is below cold_limit, which is {}",
                    spec.warm_limit, spec.cold_limit
                );
                push(faults, format!("{field}.warm_limit"), message);
            }
        }
    }

    fn check_customers(&self, faults: &mut Vec<ConfigError>) {
        for (name, spec) in &self.customers {
            let field = format!("customers[\"{name}\"]");
            check_name(faults, &field, name);
            if spec.weight == 0 {
                push(
                    faults,
                    format!("{field}.weight"),
                    "must be at least 1".into(),
                );
            }
        }
    }

    fn check_data_centre(&self, faults: &mut Vec<ConfigError>, field: &str, name: &str) {
        if self.data_centres.contains_key(name) {
            return;
        }
        let message = format!("data centre \"{name}\" does not exist");
        push(faults, field.to_owned(), message);
    }
}

fn missing(kind: &str, name: &str) -> ConfigError {
    ConfigError {
        field: kind.replace(' ', "_"),
        message: format!("{kind} \"{name}\" does not exist"),
    }
}

fn push(faults: &mut Vec<ConfigError>, field: String, message: String) {
    faults.push(ConfigError { field, message });
}

fn check_name(faults: &mut Vec<ConfigError>, field: &str, name: &str) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed) {
        return;
    }
    let message =
        format!("\"{name}\" is not a name: 1 to {MAX_NAME_BYTES} letters, digits and \"-_.:\"");
    push(faults, field.to_owned(), message);
}
