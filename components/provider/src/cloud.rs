//! Client of the cloud API, which buys and gives back VMs, lists them, and reports reclaim notices.

use http::Method;

use crate::http::{get, send};
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
        let answer = get(&format!("{}/vms", self.url))?;
        serde_json::from_slice(&answer.body).ok()
    }

    fn notices(&self, after: u64) -> Option<Vec<ReclaimNotice>> {
        let answer = get(&format!("{}/notices?after={after}", self.url))?;
        serde_json::from_slice(&answer.body).ok()
    }

    fn buy(&self, order: &VmOrder) -> Option<bool> {
        let body = serde_json::to_string(order).ok()?;
        let answer = send(Method::POST, &format!("{}/vms", self.url), body)?;
        Some(matches!(answer.status.as_u16(), 200 | 201 | 409))
    }

    fn give_back(&self, name: &str) -> Option<bool> {
        let url = format!("{}/vms/{name}", self.url);
        let answer = send(Method::DELETE, &url, String::new())?;
        Some(matches!(answer.status.as_u16(), 200 | 204 | 404))
    }
}
