//! Settings of the daemons: a TOML file, checked as a whole before anything starts.

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
    /// Address for our own processes; port 0 takes a free one.
    #[garde(skip)]
    pub wire: SocketAddr,
    /// Address for HTTP: callers (entry), metrics and the dump (both), the engine (agent).
    #[garde(skip)]
    pub http: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// URL of the table service.
    #[garde(url)]
    pub table: String,
    /// URL of the instance list.
    #[garde(url)]
    pub instances: String,
    /// URL of the weight origin.
    #[garde(url)]
    pub origin: String,
    /// Bearer token for all three.
    #[serde(default)]
    #[garde(skip)]
    pub token: Option<String>,
    /// Longest wait for one answer of the platform.
    #[serde(default = "default_platform_timeout", with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_mins(1))))]
    pub timeout: Duration,
    /// Time between two reads of the instance list.
    #[serde(default = "default_list_interval", with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_mins(10))))]
    pub list_interval: Duration,
    /// Mean time between two reads of the configuration row.
    #[serde(default = "default_table_interval", with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_mins(10))))]
    pub table_interval: Duration,
}

/// Connections between our processes.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct LinkSettings {
    /// Time for connecting and the introduction.
    #[serde(with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_mins(1))))]
    pub connect_timeout: Duration,
    /// Time between two heartbeats.
    #[serde(with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_mins(1))))]
    pub heartbeat: Duration,
    /// Heartbeats that may stay unanswered.
    #[garde(range(min = 1, max = 100))]
    pub heartbeat_misses: u32,
    /// Key that all processes share, as text.
    #[garde(inner(length(bytes, min = 16)))]
    pub shared_key: Option<String>,
    /// Certificate, key and authority; links are encrypted where these are given.
    #[garde(skip)]
    pub tls: Option<TlsFiles>,
    /// Allows links that neither TLS nor a shared key protects.
    #[garde(skip)]
    pub allow_plain: bool,
    /// Links of each purpose that others may hold open to this process.
    #[garde(range(min = 1, max = 65_536))]
    pub max_links: usize,
    /// Peers that may introduce themselves at once.
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
    /// The policy that these settings ask for; reads the files of TLS.
    ///
    /// # Errors
    /// A file of TLS cannot be used.
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

/// HTTP of a process.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct HttpSettings {
    /// Bearer token that `/metrics` and `/dump` ask for; none where they are open.
    #[garde(inner(length(bytes, min = 16)))]
    pub admin_token: Option<String>,
    /// Connections that may be open at once; further ones wait.
    #[garde(range(min = 2, max = 1_000_000))]
    pub max_connections: usize,
    /// Longest time for the head of a request.
    // actix reads its clock every 500 ms and never closes where the deadline has passed already.
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
    /// This process.
    #[garde(dive)]
    pub process: ProcessSettings,
    /// The platform.
    #[garde(dive)]
    pub platform: PlatformSettings,
    /// HTTP.
    #[serde(default)]
    #[garde(dive)]
    pub http: HttpSettings,
    /// Connections between our processes.
    #[serde(default)]
    #[garde(dive)]
    pub link: LinkSettings,
    /// Operators' calls.
    #[garde(dive)]
    pub operator: OperatorSettings,
    /// Callers' requests.
    #[serde(default)]
    #[garde(dive)]
    pub calls: CallSettings,
}

/// Operators' calls.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Address for the operators' calls.
    #[garde(skip)]
    pub address: SocketAddr,
    /// Token that operators send; none where plain calls are allowed.
    #[serde(default)]
    #[garde(inner(length(bytes, min = 16)))]
    pub token: Option<String>,
    /// Allows operators' calls without a token.
    #[serde(default)]
    #[garde(skip)]
    pub allow_plain: bool,
    /// Certificate and key; operators' calls are encrypted where these are given.
    #[serde(default)]
    #[garde(skip)]
    pub tls: Option<OperatorTls>,
    /// Operators' connections that may be open at once; further ones wait.
    #[serde(default = "default_operators")]
    #[garde(range(min = 1, max = 10_000))]
    pub max_connections: usize,
    /// Streams of model states that may be open at once.
    #[serde(default = "default_operators")]
    #[garde(range(min = 1, max = 10_000))]
    pub max_watches: usize,
}

/// Files for TLS on operators' calls, in PEM.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorTls {
    /// Certificate of the entry, and those between it and the authority.
    pub certificate: PathBuf,
    /// Private key of the certificate.
    pub key: PathBuf,
    /// Certificates of the authority that operators' certificates are checked against; operators
    /// need none where this is not given.
    #[serde(default)]
    pub authority: Option<PathBuf>,
}

impl OperatorTls {
    /// Checks that the files can be used.
    ///
    /// # Errors
    /// A file cannot be read or parsed, or they do not go together.
    pub fn check(&self) -> Result<()> {
        let authority = self.authority.as_deref();
        tls::check_server_files(&self.certificate, &self.key, authority).wrap_err("operator.tls")
    }
}

/// Callers' requests.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct CallSettings {
    /// Longest time for one call.
    #[serde(with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_hours(1))))]
    pub timeout: Duration,
    /// Longest wait for a free upstream.
    #[serde(with = "humantime_serde")]
    #[garde(custom(in_range(Duration::ZERO, Duration::from_mins(10))))]
    pub queue_timeout: Duration,
    /// Calls that may wait for a free upstream.
    #[garde(range(min = 1, max = 100_000))]
    pub queue_length: usize,
    /// Longest body of a call, in bytes.
    #[garde(range(min = 1, max = 8_388_608))]
    pub max_body_bytes: usize,
    /// Longest time for the body of a call to arrive.
    #[serde(with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_mins(10))))]
    pub body_timeout: Duration,
    /// Time that callers keep an address.
    #[serde(with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(100), Duration::from_hours(1))))]
    pub keep_addresses: Duration,
    /// Longest time that a graceful shutdown may take.
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
    /// This process.
    #[garde(dive)]
    pub process: ProcessSettings,
    /// The platform.
    #[garde(dive)]
    pub platform: PlatformSettings,
    /// HTTP.
    #[serde(default)]
    #[garde(dive)]
    pub http: HttpSettings,
    /// Connections between our processes.
    #[serde(default)]
    #[garde(dive)]
    pub link: LinkSettings,
    /// The upstream beside this agent.
    #[garde(dive)]
    pub upstream: UpstreamSettings,
    /// Weights.
    #[serde(default)]
    #[garde(dive)]
    pub weights: WeightSettings,
}

/// The upstream beside an agent.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Its name in the configuration.
    #[garde(length(bytes, min = 1, max = 128))]
    pub name: UpstreamId,
    /// Its URL.
    #[garde(url)]
    pub url: String,
    /// Longest time for one call.
    #[serde(default = "default_call_timeout", with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_hours(1))))]
    pub timeout: Duration,
    /// Time between two reads of an engine's state.
    #[serde(default = "default_state_interval", with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_mins(1))))]
    pub state_interval: Duration,
    /// Longest time that a graceful shutdown may take.
    #[serde(default = "default_call_timeout", with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(100), Duration::from_hours(1))))]
    pub shutdown_timeout: Duration,
}

/// Weights that an agent keeps and passes on.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct WeightSettings {
    /// Bytes a second that this agent sends to peers; 0 where not limited.
    #[garde(skip)]
    pub uplink_bytes: u64,
    /// Bytes a second that this agent takes from the origin; 0 where not limited.
    #[garde(skip)]
    pub origin_bytes: u64,
    /// Bytes a second that this agent takes from other regions; 0 where not limited.
    #[garde(skip)]
    pub region_bytes: u64,
    /// Chunks that may be on their way at once.
    #[garde(range(min = 1, max = 256))]
    pub parallel_chunks: usize,
    /// Time after which the next agent in rank may fetch a chunk.
    #[serde(with = "humantime_serde")]
    #[garde(custom(in_range(Duration::from_millis(10), Duration::from_mins(10))))]
    pub takeover: Duration,
    /// Bytes of weights kept in memory.
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
        reader.push(
            "link.shared_key",
            "must be given unless link.tls is given or link.allow_plain is true",
        );
    }
    Some(link)
}

fn read_operator(reader: &mut SectionReader) -> Option<OperatorSettings> {
    let operator: OperatorSettings = reader.required("operator")?;
    if operator.token.is_none() && !operator.allow_plain {
        reader.push(
            "operator.token",
            "must be given unless operator.allow_plain is true",
        );
    }
    Some(operator)
}

/// Reads and checks the settings in `path`.
///
/// # Errors
/// The file, or one that it names, cannot be read or parsed, or some field is wrong; see
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
