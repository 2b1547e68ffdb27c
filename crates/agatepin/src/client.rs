//! Client of the operator RPC service, which tries a list of entries in order.

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

/// Operator RPC client of one entry, which sends the operators' token.
pub type EntryClient = OperatorClient<InterceptedService<Channel, TokenInterceptor>>;

agatepin_core::value_type! {
    /// Why a command failed; decides the exit code of the binary.
    pub enum CommandError {
        /// The command failed, or its outcome is unknown.
        Failure(String),
        /// The command's arguments or input files are invalid.
        Input(String),
        /// Another operator's change was committed first.
        Conflict(String),
        /// No entry could execute the command; nothing was changed.
        Unavailable(String),
    }
}

impl CommandError {
    /// Exit code of the `agatepin` binary for this error.
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

/// Why a call to one entry failed.
#[derive(Debug)]
enum EntryError {
    /// The entry refused the call; another entry would refuse it as well.
    Refused(CommandError),
    /// The call was not executed; another entry may be tried.
    NotRun(String),
    /// The call was sent but no reply was received; the entry may have executed the call.
    Lost(String),
}

impl From<Status> for EntryError {
    fn from(status: Status) -> Self {
        // A status with a source was not received: tonic created it when the connection failed.
        if status.source().is_some() {
            return Self::Lost(root_cause(&status));
        }
        match status.into() {
            CommandError::Unavailable(message) => Self::NotRun(message),
            err => Self::Refused(err),
        }
    }
}

/// Adds the operators' token, if there is one, to each request.
#[derive(Clone, Debug)]
pub struct TokenInterceptor {
    /// Value of the `authorization` header; `None` sends no such header.
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

/// Entries that a command calls, and the options of these calls.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// Addresses as `host:port`, tried in this order.
    entries: Vec<String>,
    /// Bearer token for the operator RPC service; `None` sends no token.
    token: Option<String>,
    /// `None` connects without TLS.
    tls: Option<ClientTlsConfig>,
    /// Name that is recorded with each change.
    operator: String,
    /// Identifier of the change; changes with the same id take effect once.
    action_id: String,
    /// Time limit for connecting to an entry, and again for its reply.
    timeout: Duration,
}

impl ClientConfig {
    /// Creates a configuration that tries `entries`, given as `host:port`, in this order.
    ///
    /// The defaults are: no token, no TLS, a random action id and a timeout of 10 s.
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

    /// Sets the bearer token that is sent with each request.
    #[must_use]
    pub fn token(mut self, token: Option<String>) -> Self {
        self.token = token;
        self
    }

    /// Sets the TLS options of the connections; `None` connects without TLS.
    #[must_use]
    pub fn tls(mut self, tls: Option<ClientTlsConfig>) -> Self {
        self.tls = tls;
        self
    }

    /// Sets the name of the operator, which is recorded with each change.
    #[must_use]
    pub fn operator(mut self, operator: String) -> Self {
        self.operator = operator;
        self
    }

    /// Sets the action id: changes with the same id take effect once. `None` keeps the random id.
    #[must_use]
    pub fn action_id(mut self, action_id: Option<String>) -> Self {
        self.action_id = action_id.unwrap_or(self.action_id);
        self
    }

    /// Sets the time limit for connecting to an entry, and again for its reply.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Action id of the change that this command makes.
    #[must_use]
    pub fn get_action_id(&self) -> String {
        self.action_id.clone()
    }

    /// Name of the operator who runs the command.
    #[must_use]
    pub fn get_operator(&self) -> String {
        self.operator.clone()
    }

    /// Tries `call` at each entry in order and returns the first reply.
    ///
    /// # Errors
    /// An entry refused the call, or no entry replied. If the call may have been executed at an
    /// entry that did not reply, the error is a [`CommandError::Failure`] that names the action id.
    pub async fn call<Reply, Call>(&self, call: Call) -> Result<Reply, CommandError>
    where
        Call: AsyncFn(EntryClient) -> Result<Response<Reply>, Status>,
    {
        let mut reply_lost = false;
        let mut messages = Vec::new();
        for entry in &self.entries {
            let message = match self.call_entry(entry, &call).await {
                Ok(reply) => return Ok(reply),
                Err(EntryError::Refused(err)) => return Err(err),
                Err(EntryError::NotRun(message)) => message,
                Err(EntryError::Lost(message)) => {
                    reply_lost = true;
                    message
                }
            };
            messages.push(format!("entry {entry}: {message}"));
        }
        Err(self.no_reply_error(&messages, reply_lost))
    }

    fn no_reply_error(&self, messages: &[String], reply_lost: bool) -> CommandError {
        if messages.is_empty() {
            let message = "no entry is given: use --entry or AGATEPIN_ENTRY";
            return CommandError::Input(message.to_owned());
        }
        let message = messages.join("\n");
        if reply_lost {
            let id = &self.action_id;
            return CommandError::Failure(format!(
                "{message}\nthe outcome is not known: repeat the command with --action-id {id}"
            ));
        }
        CommandError::Unavailable(message)
    }

    async fn call_entry<Reply, Call>(&self, entry: &str, call: &Call) -> Result<Reply, EntryError>
    where
        Call: AsyncFn(EntryClient) -> Result<Response<Reply>, Status>,
    {
        // The connect timeout of tonic ends before the TLS handshake begins; this timeout covers
        // both.
        let timeout_result = timeout(self.timeout, self.connect(entry)).await;
        let connect_result =
            timeout_result.unwrap_or_else(|_| Err("no connection in time".to_owned()));
        let client = connect_result.map_err(EntryError::NotRun)?;
        let Ok(outcome) = timeout(self.timeout, call(client)).await else {
            return Err(EntryError::Lost("no answer in time".to_owned()));
        };
        outcome
            .map(Response::into_inner)
            .map_err(|status| match EntryError::from(status) {
                EntryError::Lost(message) => {
                    EntryError::Lost(format!("{message}; {}", self.tls_hint()))
                }
                err => err,
            })
    }

    /// Hint at the flags whose absence may be why a connection failed before the reply.
    fn tls_hint(&self) -> &'static str {
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
            .map_err(|_| "the address is not of the form host:port".to_owned())?;
        if let Some(tls) = &self.tls {
            let tls_result = endpoint.tls_config(tls.clone());
            endpoint = tls_result.map_err(|err| root_cause(&err))?;
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

/// Message of the innermost error in the chain of sources.
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
