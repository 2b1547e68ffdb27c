//! Administrative HTTP endpoints of every daemon: `/metrics`, `/dump` and `/healthz`.

use actix_web::error::{ErrorInternalServerError, ErrorUnauthorized};
use actix_web::http::header::{AUTHORIZATION, HeaderValue};
use actix_web::web::{Data, ServiceConfig, get};
use actix_web::{HttpRequest, HttpResponse};
use prometheus::{Registry, TEXT_FORMAT};
use serde_json::Value;

use crate::bearer::BearerCheck;
use crate::metrics;

/// Source of the JSON that `/dump` returns.
pub trait DumpSource: Clone + Send + 'static {
    /// Current internal state of the process.
    fn dump(&self) -> Value;
}

/// Adds the endpoints to an actix application. Actix calls this once per worker thread, each with
/// clones of the arguments. `/metrics` and `/dump` require the token of `check`.
pub fn configure<Source>(
    config: &mut ServiceConfig,
    source: Source,
    registry: Registry,
    check: BearerCheck,
) where
    Source: DumpSource,
{
    config
        .app_data(Data::new(check))
        .app_data(Data::new(source))
        .app_data(Data::new(registry))
        .route("/metrics", get().to(show_metrics))
        .route("/dump", get().to(show_dump::<Source>))
        .route("/healthz", get().to(show_health));
}

async fn show_metrics(
    request: HttpRequest,
    check: Data<BearerCheck>,
    registry: Data<Registry>,
) -> actix_web::Result<HttpResponse> {
    check_token(&request, &check)?;
    let text = metrics::encode(&registry).map_err(ErrorInternalServerError)?;
    Ok(HttpResponse::Ok().content_type(TEXT_FORMAT).body(text))
}

async fn show_dump<Source>(
    request: HttpRequest,
    check: Data<BearerCheck>,
    source: Data<Source>,
) -> actix_web::Result<HttpResponse>
where
    Source: DumpSource,
{
    check_token(&request, &check)?;
    Ok(HttpResponse::Ok().json(source.dump()))
}

fn check_token(request: &HttpRequest, check: &BearerCheck) -> actix_web::Result<()> {
    let header = request.headers().get(AUTHORIZATION);
    let check_result = check.check(header.map(HeaderValue::as_bytes));
    check_result.map_err(ErrorUnauthorized)
}

async fn show_health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}
