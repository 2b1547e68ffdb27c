//! HTTP route from which the engine beside the agent loads chunks.

use actix_web::web::{self, ServiceConfig};
use actix_web::{HttpResponse, Responder};
use agatepin_core::ids::ContentDigest;

use super::store::ChunkStore;

/// Adds `GET /weights/chunks/{digest}` to the agent's HTTP server.
pub fn configure(cfg: &mut ServiceConfig, store: ChunkStore) {
    cfg.app_data(web::Data::new(store));
    cfg.route("/weights/chunks/{digest}", web::get().to(chunk));
}

async fn chunk(digest: web::Path<String>, store: web::Data<ChunkStore>) -> impl Responder {
    let data = ContentDigest::from_hex(&digest).and_then(|digest| store.get(&digest));
    let Some(data) = data else {
        return HttpResponse::NotFound().body(format!("chunk \"{digest}\" is not held here"));
    };
    HttpResponse::Ok()
        .content_type("application/octet-stream")
        .body(data)
}
