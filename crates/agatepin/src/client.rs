//! How a command reaches the entries.

use std::error::Error;
use std::fmt;
use std::time::Duration;

use tokio::time::timeout;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, ClientTlsConfig, Endpoint};
use tonic::{Code, Request, Response, Status};

use crate::rpc::operator_client::OperatorClient;

/// Client of one entry.
pub type EntryClient = OperatorClient<InterceptedService<Channel, TokenInterceptor>>;

agatepin_core::value_type! {
    /// Why a command failed.
    pub enum CommandError {
        /// It failed, or its outcome is not known.
        Failure(String),
        /// The input is wrong.
        Input(String),
        /// Another operator's change came first.
        Conflict(String),
        /// Nothing changed, as nobody could carry it out.
        Unavailable(String),
    }
}

impl CommandError {
    /// Exit code of the binary.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Failure(_) => 1,
            Self::Input(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unavailable(_) => 4,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failure(message)
            | Self::Input(message)
            | Self::Conflict(message)
            | Self::Unavailable(message) => f.write_str(message),
        }
    }
}

impl Error for CommandError {}

impl From<Status> for CommandError {
    fn from(status: Status) -> Self {
        let message = status.message().to_owned();
        match status.code() {
            Code::InvalidArgument | Code::NotFound => Self::Input(message),
            Code::Aborted => Self::Conflict(message),
            Code::Unavailable | Code::ResourceExhausted => Self::Unavailable(message),
            code => Self::Failure(format!("{code}: {message}")),
        }
    }
}

/// Why one entry did not answer a call.
#[derive(Debug)]
enum EntryFault {
    /// It refused the call for good.
    Refused(CommandError),
    /// The call did not run.
    NotRun(String),
    /// The call may have run.
    Lost(String),
}

impl From<Status> for EntryFault {
    fn from(status: Status) -> Self {
        // A status with a source was made on this side when the connection broke.
        if status.source().is_some() {
            return Self::Lost(root_cause(&status));
        }
        match status.into() {
            CommandError::Unavailable(message) => Self::NotRun(message),
            err => Self::Refused(err),
        }
    }
}

/// Sends the operators' token with each request.
#[derive(Clone, Debug)]
pub struct TokenInterceptor {
    header: Option<MetadataValue<Ascii>>,
}

impl Interceptor for TokenInterceptor {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        if let Some(header) = &self.header {
            request
                .metadata_mut()
                .insert("authorization", header.clone());
        }
        Ok(request)
    }
}

/// Where and how a command sends its requests.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    entries: Vec<String>,
    token: Option<String>,
    tls: Option<ClientTlsConfig>,
    operator: String,
    action_id: String,
    timeout: Duration,
}

impl ClientConfig {
    /// A configuration that reaches `entries`, in this order.
    #[must_use]
    pub fn new(entries: Vec<String>) -> Self {
        Self {
            entries,
            token: None,
            tls: None,
            operator: String::new(),
            action_id: format!("{:032x}", rand::random::<u128>()),
            timeout: Duration::from_secs(10),
        }
    }

    /// Sets the token that is sent.
    #[must_use]
    pub fn token(mut self, token: Option<String>) -> Self {
        self.token = token;
        self
    }

    /// Sets the TLS of the connections; plain ones without this.
    #[must_use]
    pub fn tls(mut self, tls: Option<ClientTlsConfig>) -> Self {
        self.tls = tls;
        self
    }

    /// Sets the operator's name.
    #[must_use]
    pub fn operator(mut self, operator: String) -> Self {
        self.operator = operator;
        self
    }

    /// Sets the id under which a change takes effect once; a random one without this.
    #[must_use]
    pub fn action_id(mut self, action_id: Option<String>) -> Self {
        self.action_id = action_id.unwrap_or(self.action_id);
        self
    }

    /// Sets the longest wait for each entry.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Id of this command's change.
    #[must_use]
    pub fn get_action_id(&self) -> String {
        self.action_id.clone()
    }

    /// Name of the operator.
    #[must_use]
    pub fn get_operator(&self) -> String {
        self.operator.clone()
    }

    /// Makes a call at the first entry that answers it.
    ///
    /// # Errors
    /// An entry refused the call, or none answered it.
    pub async fn call<Reply, Call>(&self, call: Call) -> Result<Reply, CommandError>
    where
        Call: AsyncFn(EntryClient) -> Result<Response<Reply>, Status>,
    {
        let mut lost = false;
        let mut messages = Vec::new();
        for entry in &self.entries {
            let message = match self.ask(entry, &call).await {
                Ok(reply) => return Ok(reply),
                Err(EntryFault::Refused(err)) => return Err(err),
                Err(EntryFault::NotRun(message)) => message,
                Err(EntryFault::Lost(message)) => {
                    lost = true;
                    message
                }
            };
            messages.push(format!("entry {entry}: {message}"));
        }
        Err(self.summarise(&messages, lost))
    }

    fn summarise(&self, messages: &[String], lost: bool) -> CommandError {
        if messages.is_empty() {
            let message = "no entry is given: use --entry or AGATEPIN_ENTRY";
            return CommandError::Input(message.to_owned());
        }
        let message = messages.join("\n");
        if lost {
            let id = &self.action_id;
            return CommandError::Failure(format!(
                "{message}\nthe outcome is not known: repeat the command with --action-id {id}"
            ));
        }
        CommandError::Unavailable(message)
    }

    async fn ask<Reply, Call>(&self, entry: &str, call: &Call) -> Result<Reply, EntryFault>
    where
        Call: AsyncFn(EntryClient) -> Result<Response<Reply>, Status>,
    {
        // The library's own limit ends before the TLS handshake begins.
        let connecting = timeout(self.timeout, self.connect(entry)).await;
        let connected = connecting.unwrap_or_else(|_| Err("no connection in time".to_owned()));
        let client = connected.map_err(EntryFault::NotRun)?;
        let Ok(outcome) = timeout(self.timeout, call(client)).await else {
            return Err(EntryFault::Lost("no answer in time".to_owned()));
        };
        outcome
            .map(Response::into_inner)
            .map_err(|status| match EntryFault::from(status) {
                EntryFault::Lost(message) => {
                    EntryFault::Lost(format!("{message}; {}", self.hint()))
                }
                fault => fault,
            })
    }

    /// What may be missing where a connection breaks before the answer.
    fn hint(&self) -> &'static str {
        if self.tls.is_some() {
            return "an entry that asks for certificates needs --certificate and --key of its authority";
        }
        "an entry that speaks TLS needs --ca"
    }

    async fn connect(&self, entry: &str) -> Result<EntryClient, String> {
        let header = self
            .token
            .as_ref()
            .map(|token| format!("Bearer {token}").parse())
            .transpose()
            .map_err(|_| "the token is not printable ASCII".to_owned())?;
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        let mut endpoint = Endpoint::from_shared(format!("{scheme}://{entry}"))
            .map_err(|_| "is not an address".to_owned())?;
        if let Some(tls) = &self.tls {
            let configured = endpoint.tls_config(tls.clone());
            endpoint = configured.map_err(|err| root_cause(&err))?;
        }
        let channel = endpoint
            .connect_timeout(self.timeout)
            .connect()
            .await
            .map_err(|err| root_cause(&err))?;
        let interceptor = TokenInterceptor { header };
        Ok(OperatorClient::with_interceptor(channel, interceptor))
    }
}

/// Message of the innermost error.
fn root_cause<Cause>(err: &Cause) -> String
where
    Cause: Error,
{
    let mut message = err.to_string();
    let mut cause = err.source();
    while let Some(err) = cause {
        message = err.to_string();
        cause = err.source();
    }
    message
}
