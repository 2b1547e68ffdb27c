//! Authentication and validation of operators' requests, and the errors for invalid ones.

use agatepin_core::config::{ConfigError, MAX_NAME_BYTES};
use tonic::metadata::AsciiMetadataValue as AsciiValue;
use tonic::service::Interceptor;
use tonic::{Request, Status};

use crate::bearer::BearerCheck;

/// Maximum length of an action id and of an operator's name, in bytes.
pub(super) const MAX_ACTION_BYTES: usize = MAX_NAME_BYTES;

/// Rejects requests that do not carry the operators' token.
#[derive(Clone, Debug)]
pub(super) struct TokenCheck(BearerCheck);

impl TokenCheck {
    pub(super) fn new(token: Option<&str>) -> Self {
        Self(BearerCheck::new(token))
    }
}

impl Interceptor for TokenCheck {
    fn call(&mut self, request: Request<()>) -> Result<Request<()>, Status> {
        let header = request.metadata().get("authorization");
        let check_result = self.0.check(header.map(AsciiValue::as_bytes));
        check_result.map_err(|err| Status::unauthenticated(err.to_string()))?;
        Ok(request)
    }
}

/// Checks the length of the action id and the operator's name, which all change requests have.
pub(super) fn check_action(action_id: &str, operator: &str) -> Result<(), Status> {
    let mut errors = Vec::new();
    for (field, text) in [("action_id", action_id), ("operator", operator)] {
        if !text.is_empty() && text.len() <= MAX_ACTION_BYTES {
            continue;
        }
        let message = format!(
            "has {} bytes; 1 to {MAX_ACTION_BYTES} are allowed",
            text.len()
        );
        errors.push(ConfigError {
            field: field.to_owned(),
            message,
        });
    }
    if errors.is_empty() {
        return Ok(());
    }
    Err(invalid_argument(&errors))
}

/// Status for a request with invalid fields; the message lists all of `errors`.
pub(super) fn invalid_argument(errors: &[ConfigError]) -> Status {
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    Status::invalid_argument(texts.join("; "))
}

/// Status for a model that the configuration does not declare.
pub(super) fn unknown_model(model: &str) -> Status {
    Status::invalid_argument(format!("model \"{model}\" does not exist"))
}
