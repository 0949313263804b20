//! The cloud API: buying and giving back VMs, the lagging list of them, and reclaim notices.

use crate::http::send;
use crate::wire::{Notice, Vm, VmOrder};

/// What croftpond asks of the cloud.
pub trait Cloud: Send + Sync {
    /// The lagging list of VMs, or `None` if no answer came.
    fn vms(&self) -> Option<Vec<Vm>>;

    /// Notices after a sequence, or `None` if no answer came.
    fn notices(&self, after: u64) -> Option<Vec<Notice>>;

    /// Buys a VM: `Some(true)` if it starts or exists under that name, `Some(false)` if the start
    /// is refused, `None` if no answer came.
    fn buy(&self, order: &VmOrder) -> Option<bool>;

    /// Gives a VM back; giving back one that is gone does nothing. `None` if no answer came.
    fn give_back(&self, name: &str) -> Option<bool>;
}

/// The cloud protocol of docs/interfaces.md.
#[derive(Clone, Debug)]
pub struct HttpCloud {
    url: String,
}

impl HttpCloud {
    /// A client of the cloud API at a base URL.
    pub fn new(url: &str) -> Self {
        HttpCloud {
            url: url.to_string(),
        }
    }
}

impl Cloud for HttpCloud {
    fn vms(&self) -> Option<Vec<Vm>> {
        let response = send(minreq::get(format!("{}/vms", self.url)))?;
        serde_json::from_slice(response.as_bytes()).ok()
    }

    fn notices(&self, after: u64) -> Option<Vec<Notice>> {
        let url = format!("{}/notices", self.url);
        let response = send(minreq::get(url).with_param("after", after.to_string()))?;
        serde_json::from_slice(response.as_bytes()).ok()
    }

    fn buy(&self, order: &VmOrder) -> Option<bool> {
        let body = serde_json::to_string(order).ok()?;
        let response = send(minreq::post(format!("{}/vms", self.url)).with_body(body))?;
        Some(matches!(response.status_code, 200 | 201 | 409))
    }

    fn give_back(&self, name: &str) -> Option<bool> {
        let response = send(minreq::delete(format!("{}/vms/{name}", self.url)))?;
        Some(matches!(response.status_code, 200 | 204 | 404))
    }
}
