//! Stand-in of the platform's instance list, which shows changes after a lag.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use actix_web::web::{Data, ServiceConfig};
use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::server::{LOOPBACK_ANY_PORT, StandinRole, StandinServer};
use crate::sync::lock;

/// A running instance list.
pub type InstanceListStandin = StandinServer<InstanceListRole>;

/// Options of the instance list at its start.
#[derive(Clone, Debug)]
pub struct InstanceListOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Time until a change is visible to readers.
    pub lag: Duration,
}

impl Default for InstanceListOptions {
    fn default() -> Self {
        Self {
            listen: LOOPBACK_ANY_PORT,
            lag: Duration::ZERO,
        }
    }
}

/// An instance in the list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub id: String,
    /// Program that runs there: `entry` or `agent`.
    pub role: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Address for links from other entries and agents, as `HOST:PORT`.
    pub wire: String,
    /// Address for HTTP requests, as `HOST:PORT`.
    pub http: String,
    /// Whether the instance is shutting down.
    #[serde(default)]
    pub leaving: bool,
}

/// Change of the instance list.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceListControl {
    /// Adds an instance or replaces the one with the same name.
    Add(ListedInstance),
    /// Removes an instance.
    Remove {
        /// Name of the instance.
        id: String,
    },
    /// Sets or clears the `leaving` mark of an instance; has no effect if it is not listed.
    Leaving {
        /// Name of the instance.
        id: String,
        /// Whether the instance is shutting down.
        leaving: bool,
    },
    /// Sets the lag of later changes.
    Lag {
        /// Time until a change is visible, in milliseconds.
        lag_ms: u64,
    },
    /// Sets whether all requests for the list fail with status 503.
    Down {
        /// Whether requests fail.
        down: bool,
    },
}

/// State of the instance list that a test can read.
#[derive(Clone, Debug, Serialize)]
pub struct InstanceListState {
    /// Instances that a reader gets now, ordered by name.
    pub instances: Vec<ListedInstance>,
    /// Number of changes that are not visible yet.
    pub pending: usize,
    /// Successful reads of the list.
    pub reads: u64,
}

/// Role of the instance list.
pub struct InstanceListRole {
    list: Mutex<LaggingList>,
}

struct LaggingList {
    /// Instances that a reader gets now, by name.
    visible: BTreeMap<String, ListedInstance>,
    /// Changes that are not visible yet, in the order of their submission.
    pending: VecDeque<PendingChange>,
    /// Time until a change that is submitted now becomes visible.
    lag: Duration,
    /// Whether all requests for the list fail with status 503.
    down: bool,
    /// Number of successful reads of the list.
    reads: u64,
}

struct PendingChange {
    /// Instant at which the change becomes visible.
    due: Instant,
    change: ListChange,
}

enum ListChange {
    Add(ListedInstance),
    Remove(String),
    /// Name of the instance and the new value of its `leaving` mark.
    Leaving(String, bool),
}

impl StandinServer<InstanceListRole> {
    /// Starts the instance list.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    #[allow(clippy::unused_async)]
    pub async fn start(options: InstanceListOptions) -> io::Result<Self> {
        let list = LaggingList {
            visible: BTreeMap::new(),
            pending: VecDeque::new(),
            lag: options.lag,
            down: false,
            reads: 0,
        };
        let role = InstanceListRole {
            list: Mutex::new(list),
        };
        Self::serve(role, options.listen)
    }
}

impl StandinRole for InstanceListRole {
    type Control = InstanceListControl;
    type State = InstanceListState;

    fn control(&self, control: InstanceListControl) -> Result<(), String> {
        let mut list = lock(&self.list);
        match control {
            InstanceListControl::Add(instance) => list.schedule(ListChange::Add(instance)),
            InstanceListControl::Remove { id } => list.schedule(ListChange::Remove(id)),
            InstanceListControl::Leaving { id, leaving } => {
                list.schedule(ListChange::Leaving(id, leaving));
            }
            InstanceListControl::Lag { lag_ms } => list.lag = Duration::from_millis(lag_ms),
            InstanceListControl::Down { down } => list.down = down,
        }
        Ok(())
    }

    fn state(&self) -> InstanceListState {
        let mut list = lock(&self.list);
        list.apply_due(Instant::now());
        InstanceListState {
            instances: list.visible.values().cloned().collect(),
            pending: list.pending.len(),
            reads: list.reads,
        }
    }

    fn routes(config: &mut ServiceConfig) {
        config.route("/instances", web::get().to(list_instances));
    }
}

impl LaggingList {
    /// Queues `change` to become visible after the lag; without a lag it is visible at once.
    fn schedule(&mut self, change: ListChange) {
        let now = Instant::now();
        self.pending.push_back(PendingChange {
            due: now + self.lag,
            change,
        });
        self.apply_due(now);
    }

    /// Applies the changes that are due, in the order of their submission.
    ///
    /// A change waits for those before it, also when the lag was shortened in between.
    fn apply_due(&mut self, now: Instant) {
        while let Some(pending) = self.pending.pop_front_if(|pending| pending.due <= now) {
            self.apply(pending.change);
        }
    }

    fn apply(&mut self, change: ListChange) {
        match change {
            ListChange::Add(instance) => {
                self.visible.insert(instance.id.clone(), instance);
            }
            ListChange::Remove(id) => {
                self.visible.remove(&id);
            }
            ListChange::Leaving(id, leaving) => {
                if let Some(instance) = self.visible.get_mut(&id) {
                    instance.leaving = leaving;
                }
            }
        }
    }
}

async fn list_instances(role: Data<InstanceListRole>) -> HttpResponse {
    let mut list = lock(&role.list);
    if list.down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    list.reads += 1;
    list.apply_due(Instant::now());
    let instances: Vec<_> = list.visible.values().collect();
    HttpResponse::Ok().json(json!({ "instances": instances }))
}
