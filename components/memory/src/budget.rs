//! How much of a VM's memory may be held for callers and endpoints.

/// Part of a VM's memory that a process plans with: the rest covers what the allocator loses between blocks and what
/// arrived and was not read yet. A process of 160 MiB is to peak below 120.
const PLANNED_PART: f64 = 0.65;
/// Bytes of a process that holds nothing: 6.2 MB at most in calm on the deployments that were measured, and room for logs.
const BASE_BYTES: u64 = 8 << 20;
/// Bytes of one endpoint in the tables: its row as text, decoded, and its place on the board.
const ENDPOINT_BYTES: u64 = 4 << 10;
/// Bytes of one gateway in the tables: its row, totals by team and what it was heard to say.
const GATEWAY_BYTES: u64 = 4 << 10;
/// Part of the budget that only requests within their own share may use.
const SHARE_POOL_PART: f64 = 0.3;
/// Requests that divide the part of the shares at least; fewer than that find more in the common part.
const MIN_SHARE_COUNT: u64 = 16;
/// Shares shrink as holders come, and those before keep what they hold: n of them hold at most 1 + ln(n / 16) times the
/// part if it is divided by n alone. Divided by this as well, it lasts for 2,300 holders.
const EARLIER_HOLDERS_DIVISOR: u64 = 6;
/// Least budget: one body of the largest size and its answer fit whatever the VM says.
const MIN_BUDGET_BYTES: u64 = 8 << 20;

/// How large the tables are that a gateway keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Endpoints known.
    pub endpoints: u64,
    /// Gateways known.
    pub gateways: u64,
}

/// Bytes that may be held, and how they are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// All of them; `None` sets no bound.
    pub max_bytes: Option<u64>,
}

impl Budget {
    /// No bound.
    pub const NONE: Budget = Budget { max_bytes: None };

    /// The budget of a process on a VM of so many MiB; 0 sets no bound.
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

    /// A budget of so many bytes.
    pub fn of_bytes(max_bytes: u64) -> Self {
        Budget {
            max_bytes: Some(max_bytes),
        }
    }

    /// Bytes that one of `holders` requests may hold while the common part is used up.
    pub fn share(&self, holders: u64) -> u64 {
        self.share_pool() / holders.max(MIN_SHARE_COUNT) / EARLIER_HOLDERS_DIVISOR
    }

    /// Bytes that only requests within their share may use.
    pub fn share_pool(&self) -> u64 {
        self.max_bytes.map_or(u64::MAX, |max_bytes| {
            (max_bytes as f64 * SHARE_POOL_PART) as u64
        })
    }

    /// Bytes that any request may use, beyond its share as well.
    pub fn common_pool(&self) -> u64 {
        self.max_bytes.map_or(u64::MAX, |max_bytes| {
            max_bytes.saturating_sub(self.share_pool())
        })
    }
}
