//! Clients of the platform: the table service and the instance list.

pub mod http;
pub mod instances;
pub mod table;

use tokio_util::sync::CancellationToken;

use self::http::HttpClient;
use self::instances::InstanceReader;
use self::table::DynamoTable;
use crate::settings::PlatformSettings;

/// Clients of the platform's services, which share one HTTP client.
#[derive(Clone, Debug)]
pub struct PlatformClients {
    /// Client of the table service.
    pub table: DynamoTable,
    /// Client that reads the instance list.
    pub instances: InstanceReader,
}

impl PlatformClients {
    /// Starts the clients on the current actix arbiter; they stop when `stopped` is cancelled.
    #[must_use]
    pub fn start(settings: &PlatformSettings, stopped: CancellationToken) -> Self {
        let client = HttpClient::start(settings.timeout, stopped);
        let token = settings.token.clone();
        let timeout = settings.timeout;
        let table = DynamoTable::new(
            client.clone(),
            settings.table.clone(),
            token.clone(),
            timeout,
        );
        let instances = InstanceReader::new(client, &settings.instances, token, timeout);
        Self { table, instances }
    }
}
