//! HTTP server and control API that all stand-ins share.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;

use actix_web::dev::ServerHandle;
use actix_web::web::{Bytes, Data, Path, PayloadConfig, ServiceConfig};
use actix_web::{App, HttpResponse, HttpServer, error, web};
use futures_util::stream;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// Longest request body that a stand-in accepts, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Loopback address with port 0, so that the operating system assigns a free port.
pub const LOOPBACK_ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Behaviour of one kind of stand-in behind the shared HTTP server.
pub trait StandinRole: Send + Sync + Sized + 'static {
    /// Changes that a test can request: an enum with one variant per name in `/control/NAME`.
    type Control: DeserializeOwned;
    /// State that a test can read.
    type State: Serialize;

    /// Applies a change.
    ///
    /// # Errors
    /// Returns the reason if the change is invalid.
    fn control(&self, control: Self::Control) -> Result<(), String>;

    /// Returns the current state.
    fn state(&self) -> Self::State;

    /// Adds the routes of the protocol that the stand-in implements.
    fn routes(config: &mut ServiceConfig);
}

/// A running stand-in, which stops when this handle is dropped.
pub struct StandinServer<Role> {
    role: Arc<Role>,
    address: SocketAddr,
    server: ServerHandle,
}

impl<Role> StandinServer<Role>
where
    Role: StandinRole,
{
    /// Starts to serve `role` on `listen` in the actix system of the current thread.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn serve(role: Role, listen: SocketAddr) -> io::Result<Self> {
        let role = Arc::new(role);
        let data = Data::from(Arc::clone(&role));
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let server = HttpServer::new(move || {
            App::new()
                .app_data(data.clone())
                .app_data(PayloadConfig::new(MAX_BODY_BYTES))
                .route("/control/state", web::get().to(get_state::<Role>))
                .route("/control/{name}", web::post().to(post_control::<Role>))
                .configure(Role::routes)
        })
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(Self {
            role,
            address,
            server: handle,
        })
    }

    /// Returns the address that the stand-in listens on, with the assigned port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL of the stand-in without a trailing slash.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Applies a change.
    ///
    /// # Errors
    /// Returns the reason if the change is invalid.
    pub fn control(&self, control: Role::Control) -> Result<(), String> {
        self.role.control(control)
    }

    /// Returns the current state.
    #[must_use]
    pub fn state(&self) -> Role::State {
        self.role.state()
    }
}

impl<Role> Drop for StandinServer<Role> {
    fn drop(&mut self) {
        drop(self.server.stop(false));
    }
}

/// Returns a response whose body fails at once, so that the connection closes before the
/// response is complete.
#[must_use]
pub fn drop_connection() -> HttpResponse {
    let failure = error::ErrorInternalServerError("connection dropped by the stand-in");
    HttpResponse::Ok().streaming(stream::iter([Err::<Bytes, _>(failure)]))
}

async fn get_state<Role>(role: Data<Role>) -> HttpResponse
where
    Role: StandinRole,
{
    HttpResponse::Ok().json(role.state())
}

async fn post_control<Role>(role: Data<Role>, name: Path<String>, body: Bytes) -> HttpResponse
where
    Role: StandinRole,
{
    let outcome = parse_control::<Role>(&name, &body).and_then(|control| role.control(control));
    match outcome {
        Ok(()) => HttpResponse::Ok().json(role.state()),
        Err(message) => HttpResponse::BadRequest().json(serde_json::json!({ "error": message })),
    }
}

/// Deserializes a change: `name` (from the path) is the variant, `body` holds its fields as JSON.
fn parse_control<Role>(name: &str, body: &[u8]) -> Result<Role::Control, String>
where
    Role: StandinRole,
{
    let fields = if body.is_empty() {
        Value::Null
    } else {
        serde_json::from_slice(body).map_err(|err| format!("invalid control \"{name}\": {err}"))?
    };
    let tagged = Value::Object(Map::from_iter([(name.to_owned(), fields)]));
    serde_json::from_value(tagged).map_err(|err| format!("invalid control \"{name}\": {err}"))
}
