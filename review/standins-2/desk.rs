//! Stand-in of a plain service: workers that take orders, each of which may run once at most.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Reply, Request, serve};
use crate::platform::{Store, lock};

/// Time in which a worker runs an order.
const WORK: Duration = Duration::from_millis(60);

/// A worker of the service `desk`.
pub struct DeskWorker {
    pub id: String,
    state: Mutex<DeskState>,
}

#[derive(Default)]
struct DeskState {
    /// Of 100 orders, how many fail after they have run.
    failing: u64,
    /// Number of orders that arrived.
    arrived: u64,
    /// Orders that ran, by attempt id.
    runs: BTreeMap<String, String>,
}

impl DeskWorker {
    /// Starts a worker, which enters itself into the list of workers.
    pub fn start(id: &str, address: SocketAddr, store: &Arc<Store>) -> io::Result<Arc<Self>> {
        let worker = Arc::new(Self {
            id: id.to_owned(),
            state: Mutex::default(),
        });
        let served = worker.clone();
        serve(address, move |request, reply| {
            let _ = served.answer(request, reply);
        })?;
        let entry = format!(
            r#"{{"service":"desk","address":"{address}","zone":"z1","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"seq":0,"born":1}}"#
        );
        store.write("servers", id, Some(&entry));
        Ok(worker)
    }

    /// Lets `percent` of the orders fail after they have run.
    pub fn fail(&self, percent: u64) {
        lock(&self.state).failing = percent;
    }

    /// Orders that ran, by attempt id.
    pub fn runs(&self) -> BTreeMap<String, String> {
        lock(&self.state).runs.clone()
    }

    fn answer(&self, request: &Request, reply: &mut Reply) -> io::Result<()> {
        if request.path == "/health" {
            return reply.send(200, &[("Agatepin-Instance-Id", self.id.clone())], b"");
        }
        let expected = request.header("agatepin-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return reply.send(421, &[("Agatepin-Instance-Id", self.id.clone())], b"");
        }
        let attempt = request.header("agatepin-attempt-id").to_owned();
        let fails = {
            let mut state = lock(&self.state);
            state.arrived += 1;
            // Evenly spread over the orders.
            state.arrived * state.failing / 100 > (state.arrived - 1) * state.failing / 100
        };
        thread::sleep(WORK);
        let order = String::from_utf8_lossy(&request.body).into_owned();
        lock(&self.state).runs.insert(attempt.clone(), order);
        let headers = [
            ("Agatepin-Attempt-Id", attempt),
            ("Agatepin-Response-Seal", format!("{}.1", self.id)),
        ];
        // The order has been booked. The failure does not state that it was not run.
        let (status, body) = if fails {
            (503, "receipt printer unavailable")
        } else {
            (200, "booked")
        };
        reply.send(status, &headers, body.as_bytes())
    }
}
