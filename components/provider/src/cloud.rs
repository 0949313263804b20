//! Client of the cloud API, which buys and gives back VMs, lists them, and reports reclaim notices.

use crate::http::send;
use crate::wire::{ReclaimNotice, Vm, VmOrder};

/// Calls to the cloud API.
pub trait Cloud: Send + Sync {
    /// List of VMs, which lags behind the real state; `None` if no readable answer came.
    fn vms(&self) -> Option<Vec<Vm>>;

    /// Reclaim notices with a sequence above `after`; `None` if no readable answer came.
    fn notices(&self, after: u64) -> Option<Vec<ReclaimNotice>>;

    /// Buys a VM: `Some(true)` if it starts or exists under that name, `Some(false)` if the start
    /// is refused, `None` if no answer came.
    fn buy(&self, order: &VmOrder) -> Option<bool>;

    /// Gives a VM back: `Some(true)` if it is given back or already gone, `Some(false)` if the call is
    /// refused, `None` if no answer came.
    fn give_back(&self, name: &str) -> Option<bool>;
}

/// HTTP client of the cloud API; docs/interfaces.md describes the protocol.
#[derive(Clone, Debug)]
pub struct HttpCloud {
    url: String,
}

impl HttpCloud {
    /// Creates a client of the cloud API at a base URL.
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

    fn notices(&self, after: u64) -> Option<Vec<ReclaimNotice>> {
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
