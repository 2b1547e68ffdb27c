//! Settings of the daemons: a TOML file, which is validated completely before the daemon starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use agatepin_core::heartbeat::HeartbeatPolicy;
use agatepin_core::ids::{DataCentreId, InstanceId, UpstreamId};
use eyre::{Result, WrapErr, eyre};
use garde::Validate;
use serde::Deserialize;

use crate::wire::link::{self, LinkPolicy};
use crate::wire::proof;
use crate::wire::tls::{self, LinkTls, TlsFiles};

pub mod reader;

use reader::{SectionReader, SettingsFile};

/// Settings that entries and agents share.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Name of this instance, unique among all processes.
    #[garde(length(bytes, min = 1, max = 128))]
    pub instance: InstanceId,
    /// Data centre that this instance runs in.
    #[garde(length(bytes, min = 1, max = 128))]
    pub data_centre: DataCentreId,
    /// Listening address for links from other processes of the cluster; port 0 selects a free port.
    #[garde(skip)]
    pub wire: SocketAddr,
    /// Listening address for HTTP: callers' requests (entry), requests of the engine (agent),
    /// metrics and dump (both).
    #[garde(skip)]
    pub http: SocketAddr,
}

/// Access to the platform's services.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// URL of the table service.
    #[garde(url)]
    pub table: String,
    /// URL of the instance list.
    #[garde(url)]
    pub instances: String,
    /// URL of the weight origin, the service that agents download model weights from.
    #[garde(url)]
    pub origin: String,
    /// Bearer token that is sent to all three services; `None` sends no token.
    #[serde(default)]
    #[garde(skip)]
    pub token: Option<String>,
    /// Time limit for one request to a service.
    #[serde(default = "default_platform_timeout", with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_mins(1))))]
    pub timeout: Duration,
    /// Mean time between two reads of the instance list; longer if the list is large.
    #[serde(default = "default_list_interval", with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_mins(10))))]
    pub list_interval: Duration,
    /// Mean time between two reads of the configuration row (the row of the table service that
    /// contains the configuration); longer if the row is large.
    #[serde(default = "default_table_interval", with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_mins(10))))]
    pub table_interval: Duration,
}

/// Settings of links: connections between the processes of the cluster.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct LinkSettings {
    /// Time limit for connecting to a peer, the TLS handshake and the introduction (handshake with
    /// Hello and Welcome frames) together.
    #[serde(with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_mins(1))))]
    pub connect_timeout: Duration,
    /// Time between two heartbeats that a process sends on a link.
    #[serde(with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_mins(1))))]
    pub heartbeat: Duration,
    /// Number of missed heartbeats that a link tolerates before it is closed.
    #[garde(range(min = 1, max = 100))]
    pub heartbeat_misses: u32,
    /// Shared key with which processes authenticate each other, as text; the same for all of them.
    #[garde(inner(length(bytes, min = 16)))]
    pub shared_key: Option<String>,
    /// TLS files (certificate, key and authority); links are not encrypted if this is absent.
    #[garde(skip)]
    pub tls: Option<TlsFiles>,
    /// Allows links that use neither TLS nor a shared key.
    #[garde(skip)]
    pub allow_plain: bool,
    /// Maximum number of links that other processes may hold open to this one, for each purpose
    /// (calls, chunks, and configuration with membership).
    #[garde(range(min = 1, max = 65_536))]
    pub max_links: usize,
    /// Maximum number of accepted connections whose introduction (handshake with Hello and Welcome
    /// frames) is not complete.
    #[garde(range(min = 1, max = 65_536))]
    pub max_introductions: usize,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            heartbeat: Duration::from_millis(500),
            heartbeat_misses: 2,
            shared_key: None,
            tls: None,
            allow_plain: false,
            max_links: link::DEFAULT_MAX_LINKS,
            max_introductions: link::DEFAULT_MAX_INTRODUCTIONS,
        }
    }
}

impl LinkSettings {
    /// Builds the link policy; reads the TLS files.
    ///
    /// # Errors
    /// A TLS file cannot be read or parsed.
    pub fn policy(&self) -> Result<LinkPolicy> {
        let tls = self.tls.as_ref().map(LinkTls::load).transpose();
        Ok(LinkPolicy {
            connect_timeout: self.connect_timeout,
            heartbeat: HeartbeatPolicy {
                interval: self.heartbeat,
                misses: self.heartbeat_misses,
            },
            shared_key: self.shared_key.as_deref().map(proof::derive_key),
            tls: tls.wrap_err("link.tls")?,
            max_links: self.max_links,
            max_introductions: self.max_introductions,
        })
    }
}

/// Settings of a process's HTTP server.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct HttpSettings {
    /// Bearer token that `/metrics` and `/dump` require; if absent, these paths need no token.
    #[garde(inner(length(bytes, min = 16)))]
    pub admin_token: Option<String>,
    /// Maximum number of open connections; further connections wait to be accepted.
    #[garde(range(min = 2, max = 1_000_000))]
    pub max_connections: usize,
    /// Time limit for receiving the head of a request.
    // Not below 1 s: actix updates its clock only every 500 ms, and never closes a connection whose
    // deadline has already passed when it is set.
    #[serde(with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_secs(1), Duration::from_mins(10))))]
    pub head_timeout: Duration,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self {
            admin_token: None,
            max_connections: 20_000,
            head_timeout: Duration::from_secs(5),
        }
    }
}

/// Settings of `agatepin-entry`.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name, data centre and addresses of this process.
    #[garde(dive)]
    pub process: ProcessSettings,
    /// Access to the platform's services.
    #[garde(dive)]
    pub platform: PlatformSettings,
    /// HTTP server.
    #[serde(default)]
    #[garde(dive)]
    pub http: HttpSettings,
    /// Links to other processes of the cluster.
    #[serde(default)]
    #[garde(dive)]
    pub link: LinkSettings,
    /// Operator RPC service.
    #[garde(dive)]
    pub operator: OperatorSettings,
    /// Limits for callers' requests.
    #[serde(default)]
    #[garde(dive)]
    pub calls: CallSettings,
}

/// Settings of an entry's operator RPC service.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Listening address of the service.
    #[garde(skip)]
    pub address: SocketAddr,
    /// Bearer token that operators send; may be absent only if `allow_plain` is true.
    #[serde(default)]
    #[garde(inner(length(bytes, min = 16)))]
    pub token: Option<String>,
    /// Allows requests without a token.
    #[serde(default)]
    #[garde(skip)]
    pub allow_plain: bool,
    /// TLS files; connections are not encrypted if this is absent.
    #[serde(default)]
    #[garde(skip)]
    pub tls: Option<OperatorTls>,
    /// Maximum number of open connections; further connections wait to be accepted.
    #[serde(default = "default_operators")]
    #[garde(range(min = 1, max = 10_000))]
    pub max_connections: usize,
    /// Maximum number of open streams of model states; requests for further streams are refused.
    #[serde(default = "default_operators")]
    #[garde(range(min = 1, max = 10_000))]
    pub max_watches: usize,
}

/// TLS files of the operator RPC service, in PEM.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorTls {
    /// Certificate chain: the entry's certificate and the intermediate certificates.
    pub certificate: PathBuf,
    /// Private key of the certificate.
    pub key: PathBuf,
    /// Certificates of the authority that signs operators' certificates. Operators need no
    /// certificate if this is absent.
    #[serde(default)]
    pub authority: Option<PathBuf>,
}

impl OperatorTls {
    /// Checks that the files can be used together.
    ///
    /// # Errors
    /// A file cannot be read or parsed, or the key does not belong to the certificate.
    pub fn check(&self) -> Result<()> {
        let authority = self.authority.as_deref();
        tls::check_server_files(&self.certificate, &self.key, authority).wrap_err("operator.tls")
    }
}

/// Limits for callers' requests.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct CallSettings {
    /// Time limit for one call.
    #[serde(with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_hours(1))))]
    pub timeout: Duration,
    /// Maximum time that a call waits for a free upstream.
    #[serde(with = "humantime_serde")]
    #[garde(custom(in_range(Duration::ZERO, Duration::from_mins(10))))]
    pub queue_timeout: Duration,
    /// Maximum number of calls that wait for a free upstream.
    #[garde(range(min = 1, max = 100_000))]
    pub queue_length: usize,
    /// Maximum size of a call's body, in bytes.
    #[garde(range(min = 1, max = 8_388_608))]
    pub max_body_bytes: usize,
    /// Memory for the bodies of all calls, in bytes.
    #[garde(range(min = 1, max = 1_099_511_627_776))]
    pub body_memory_bytes: usize,
    /// Time limit for receiving the body of a call.
    #[serde(with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_mins(10))))]
    pub body_timeout: Duration,
    /// Time for which callers may use the list of entry addresses that an entry sent them.
    #[serde(with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(100), Duration::from_hours(1))))]
    pub keep_addresses: Duration,
    /// Time limit for a graceful shutdown.
    #[serde(with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(100), Duration::from_hours(1))))]
    pub shutdown_timeout: Duration,
}

impl Default for CallSettings {
    fn default() -> Self {
        Self {
            timeout: Duration::from_mins(2),
            queue_timeout: Duration::from_secs(2),
            queue_length: 256,
            max_body_bytes: 1024 * 1024,
            body_memory_bytes: 24 * 1024 * 1024,
            body_timeout: Duration::from_secs(30),
            keep_addresses: Duration::from_secs(30),
            shutdown_timeout: Duration::from_mins(2),
        }
    }
}

/// Settings of `agatepin-agent`.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name, data centre and addresses of this process.
    #[garde(dive)]
    pub process: ProcessSettings,
    /// Access to the platform's services.
    #[garde(dive)]
    pub platform: PlatformSettings,
    /// HTTP server.
    #[serde(default)]
    #[garde(dive)]
    pub http: HttpSettings,
    /// Links to other processes of the cluster.
    #[serde(default)]
    #[garde(dive)]
    pub link: LinkSettings,
    /// The upstream to which this agent forwards calls.
    #[garde(dive)]
    pub upstream: UpstreamSettings,
    /// Storage and transfer of weights.
    #[serde(default)]
    #[garde(dive)]
    pub weights: WeightSettings,
}

/// Settings of the upstream to which an agent forwards calls.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Name of the upstream in the configuration.
    #[garde(length(bytes, min = 1, max = 128))]
    pub name: UpstreamId,
    /// Base URL of the upstream.
    #[garde(url)]
    pub url: String,
    /// Time limit for one call to the upstream.
    #[serde(default = "default_call_timeout", with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_hours(1))))]
    pub timeout: Duration,
    /// Time between two reads of the engine's state.
    #[serde(default = "default_state_interval", with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_mins(1))))]
    pub state_interval: Duration,
    /// Time limit for a graceful shutdown.
    #[serde(default = "default_call_timeout", with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(100), Duration::from_hours(1))))]
    pub shutdown_timeout: Duration,
}

/// Storage of weights in an agent, and their transfer between agents.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct WeightSettings {
    /// Limit on the bytes per second that this agent sends to peers; 0 for no limit.
    #[garde(skip)]
    pub uplink_bytes: u64,
    /// Limit on the bytes per second that this agent downloads from the origin; 0 for no limit.
    #[garde(skip)]
    pub origin_bytes: u64,
    /// Limit on the bytes per second that this agent sends to agents in other regions, which also
    /// count towards `uplink_bytes`; 0 for no separate limit.
    #[garde(skip)]
    pub region_bytes: u64,
    /// Maximum number of chunk requests of this agent that are sent and not yet answered.
    #[garde(range(min = 1, max = 256))]
    pub parallel_chunks: usize,
    /// Time in which neither this agent nor a linked peer receives a chunk, after which one more
    /// agent in the ranking may request that chunk from the origin, another region or another data
    /// centre. All agents compute the same ranking for a chunk.
    #[serde(with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_mins(10))))]
    pub takeover: Duration,
    /// Maximum size of the weights kept in memory, in bytes.
    #[garde(range(min = 1))]
    pub memory_bytes: u64,
}

impl Default for WeightSettings {
    fn default() -> Self {
        Self {
            uplink_bytes: 0,
            origin_bytes: 0,
            region_bytes: 0,
            parallel_chunks: 8,
            takeover: Duration::from_secs(2),
            memory_bytes: 64 * 1024 * 1024 * 1024,
        }
    }
}

impl SettingsFile for EntrySettings {
    fn read(reader: &mut SectionReader) -> Option<Self> {
        let process = reader.required("process");
        let platform = reader.required("platform");
        let http = reader.optional("http");
        let link = read_link(reader);
        let operator = read_operator(reader);
        let calls = reader.optional("calls");
        Some(Self {
            process: process?,
            platform: platform?,
            http: http?,
            link: link?,
            operator: operator?,
            calls: calls?,
        })
    }

    fn check_files(&self) -> Result<()> {
        self.link.policy()?;
        self.operator
            .tls
            .as_ref()
            .map_or(Ok(()), OperatorTls::check)
    }
}

impl SettingsFile for AgentSettings {
    fn read(reader: &mut SectionReader) -> Option<Self> {
        let process = reader.required("process");
        let platform = reader.required("platform");
        let http = reader.optional("http");
        let link = read_link(reader);
        let upstream = reader.required("upstream");
        let weights = reader.optional("weights");
        Some(Self {
            process: process?,
            platform: platform?,
            http: http?,
            link: link?,
            upstream: upstream?,
            weights: weights?,
        })
    }

    fn check_files(&self) -> Result<()> {
        self.link.policy().map(drop)
    }
}

fn read_link(reader: &mut SectionReader) -> Option<LinkSettings> {
    let link: LinkSettings = reader.optional("link")?;
    if link.tls.is_none() && link.shared_key.is_none() && !link.allow_plain {
        reader.push_error(
            "link.shared_key",
            "must be given unless link.tls is given or link.allow_plain is true",
        );
    }
    Some(link)
}

fn read_operator(reader: &mut SectionReader) -> Option<OperatorSettings> {
    let operator: OperatorSettings = reader.required("operator")?;
    if operator.token.is_none() && !operator.allow_plain {
        reader.push_error(
            "operator.token",
            "must be given unless operator.allow_plain is true",
        );
    }
    Some(operator)
}

/// Reads and validates the settings file `path`.
///
/// # Errors
/// The file, or one that it refers to, cannot be read or parsed, or a field is invalid; see
/// [`SectionReader::parse`].
pub fn load<Settings>(path: &Path) -> Result<Settings>
where
    Settings: SettingsFile,
{
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read settings file \"{}\"", path.display()))?;
    let settings: Settings = SectionReader::parse(&text)
        .map_err(|err| eyre!("settings file \"{}\":\n{err}", path.display()))?;
    settings
        .check_files()
        .wrap_err_with(|| format!("settings file \"{}\"", path.display()))?;
    Ok(settings)
}

fn in_range(min: Duration, max: Duration) -> impl FnOnce(&Duration, &()) -> garde::Result {
    move |value, ()| {
        if (min..=max).contains(value) {
            return Ok(());
        }
        let message = format!(
            "{} is not between {} and {}",
            humantime::format_duration(*value),
            humantime::format_duration(min),
            humantime::format_duration(max)
        );
        Err(garde::Error::new(message))
    }
}

fn default_platform_timeout() -> Duration {
    Duration::from_secs(2)
}

/// Default of [`OperatorSettings::max_connections`] and of [`OperatorSettings::max_watches`].
fn default_operators() -> usize {
    64
}

fn default_list_interval() -> Duration {
    Duration::from_secs(2)
}

fn default_table_interval() -> Duration {
    Duration::from_secs(30)
}

fn default_call_timeout() -> Duration {
    Duration::from_mins(2)
}

fn default_state_interval() -> Duration {
    Duration::from_millis(500)
}
