//! The part of a VM's memory that may be reserved for callers and endpoints.

/// Part of a VM's memory that a process plans to use. The rest covers allocator fragmentation and data that has arrived
/// but is not read yet. On a VM of 160 MiB, a process must peak below 120 MiB.
const PLANNED_PART: f64 = 0.65;
/// Bytes of a process without reservations: measured at most 6.2 MB in idle deployments, plus room for logs.
const BASE_BYTES: u64 = 8 << 20;
/// Bytes of one endpoint in the tables: its row as text, the decoded row, and its entry in the balancer.
const ENDPOINT_BYTES: u64 = 4 << 10;
/// Bytes of one gateway in the tables: its row, totals by team and its latest reports.
const GATEWAY_BYTES: u64 = 4 << 10;
/// Part of the budget, the share pool, that only requests within their own share may use.
const SHARE_POOL_PART: f64 = 0.3;
/// Minimum number of requests by which the share pool is divided; fewer requests find more room in the common pool.
const MIN_SHARE_COUNT: u64 = 16;
/// Shares shrink as holders are added, but earlier holders keep what they hold: if the share pool were divided by their
/// number n alone, they could hold 1 + ln(n / 16) times the pool. With this additional divisor, the pool suffices for
/// 2,300 holders.
const EARLIER_HOLDERS_DIVISOR: u64 = 6;
/// Minimum budget: one body of the largest size and its answer fit regardless of the VM's memory.
const MIN_BUDGET_BYTES: u64 = 8 << 20;

/// Sizes of the tables that a gateway keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Number of known endpoints.
    pub endpoints: u64,
    /// Number of known gateways.
    pub gateways: u64,
}

/// The bytes that may be reserved, divided into a share pool and a common pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Maximum number of bytes; `None` for no limit.
    pub max_bytes: Option<u64>,
}

impl Budget {
    /// A budget without a limit.
    pub const NONE: Budget = Budget { max_bytes: None };

    /// The budget of a process on a VM with `mib` MiB of memory; 0 sets no limit.
    pub fn of_vm(mib: u64, tables: TableSizes) -> Self {
        if mib == 0 {
            return Self::NONE;
        }
        let planned = ((mib << 20) as f64 * PLANNED_PART) as u64;
        let tables = tables.endpoints * ENDPOINT_BYTES + tables.gateways * GATEWAY_BYTES;
        Self::of_bytes(
            planned
                .saturating_sub(BASE_BYTES + tables)
                .max(MIN_BUDGET_BYTES),
        )
    }

    /// A budget of `max_bytes`.
    pub fn of_bytes(max_bytes: u64) -> Self {
        Budget {
            max_bytes: Some(max_bytes),
        }
    }

    /// Bytes that each of `holders` requests may hold while the common pool is used up.
    pub fn share(&self, holders: u64) -> u64 {
        self.share_pool() / holders.max(MIN_SHARE_COUNT) / EARLIER_HOLDERS_DIVISOR
    }

    /// Size in bytes of the share pool, which only requests within their share may use.
    pub fn share_pool(&self) -> u64 {
        self.max_bytes.map_or(u64::MAX, |max_bytes| {
            (max_bytes as f64 * SHARE_POOL_PART) as u64
        })
    }

    /// Size in bytes of the common pool, which any request may use, also beyond its share.
    pub fn common_pool(&self) -> u64 {
        self.max_bytes.map_or(u64::MAX, |max_bytes| {
            max_bytes.saturating_sub(self.share_pool())
        })
    }
}
