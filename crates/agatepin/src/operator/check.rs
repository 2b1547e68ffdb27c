//! Checks of operators' requests.

use agatepin_core::config::{ConfigError, MAX_NAME_BYTES};
use tonic::metadata::AsciiMetadataValue as AsciiValue;
use tonic::service::Interceptor;
use tonic::{Request, Status};

use crate::bearer::BearerCheck;

/// Longest action id, in bytes.
pub(super) const MAX_ACTION_BYTES: usize = MAX_NAME_BYTES;

/// Refuses requests without the token.
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
        let checked = self.0.check(header.map(AsciiValue::as_bytes));
        checked.map_err(|fault| Status::unauthenticated(fault.to_string()))?;
        Ok(request)
    }
}

/// Checks the fields that every change has.
pub(super) fn check_action(action_id: &str, operator: &str) -> Result<(), Status> {
    let mut faults = Vec::new();
    for (field, text) in [("action_id", action_id), ("operator", operator)] {
        if !text.is_empty() && text.len() <= MAX_ACTION_BYTES {
            continue;
        }
        let message = format!(
            "has {} bytes; 1 to {MAX_ACTION_BYTES} are allowed",
            text.len()
        );
        faults.push(ConfigError {
            field: field.to_owned(),
            message,
        });
    }
    if faults.is_empty() {
        return Ok(());
    }
    Err(errors_status(&faults))
}

/// A status that names every wrong field.
pub(super) fn errors_status(faults: &[ConfigError]) -> Status {
    let texts: Vec<String> = faults.iter().map(ToString::to_string).collect();
    Status::invalid_argument(texts.join("; "))
}

/// A status for a model that is not declared.
pub(super) fn missing_model(model: &str) -> Status {
    Status::invalid_argument(format!("model \"{model}\" does not exist"))
}
