//! Client of the transactional table.

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use http::Method;
use state::{Reply, Row, TableCall, Write, ABSENT};

use crate::http::{get, send, TOO_MANY_REQUESTS};
use crate::wire::{RowBody, TransactBody, WriteBody};

/// Calls to the transactional table. A call blocks for at most a few seconds.
pub trait Table: Send + Sync {
    /// Makes one call; `Reply::Unanswered` stands for no answer, an unreadable one or an
    /// unexpected status.
    fn call(&self, call: &TableCall) -> Reply;
}

/// HTTP client of the table; docs/interfaces.md describes the protocol.
#[derive(Clone, Debug)]
pub struct HttpTable {
    url: String,
}

impl HttpTable {
    /// Creates a client of the table at a base URL.
    pub fn new(url: &str) -> Self {
        HttpTable {
            url: url.to_string(),
        }
    }

    fn read(&self, key: &str) -> Reply {
        let Some(answer) = get(&format!("{}/row?key={key}", self.url)) else {
            return Reply::Unanswered;
        };
        match answer.status.as_u16() {
            200 => parse_row(&answer.body),
            404 => Reply::Row(None),
            TOO_MANY_REQUESTS => Reply::Refused,
            _ => Reply::Unanswered,
        }
    }

    fn transact(&self, writes: &[Write]) -> Reply {
        let body = TransactBody {
            writes: writes.iter().map(write_body).collect(),
        };
        let Ok(json) = serde_json::to_string(&body) else {
            return Reply::Refused;
        };
        let answer = send(Method::POST, &format!("{}/transact", self.url), json);
        match answer.map(|answer| answer.status.as_u16()) {
            Some(200) => Reply::Committed {
                version: writes.first().map_or(ABSENT, |write| write.expect + 1),
            },
            Some(409) => Reply::Conflict,
            Some(TOO_MANY_REQUESTS) => Reply::Refused,
            _ => Reply::Unanswered,
        }
    }
}

impl Table for HttpTable {
    fn call(&self, call: &TableCall) -> Reply {
        match call {
            TableCall::Read(key) => self.read(key),
            TableCall::Transact(writes) => self.transact(writes),
        }
    }
}

fn write_body(write: &Write) -> WriteBody {
    WriteBody {
        key: write.key.clone(),
        expect: write.expect,
        value: STANDARD.encode(&write.value),
    }
}

fn parse_row(bytes: &[u8]) -> Reply {
    let row = serde_json::from_slice::<RowBody>(bytes).ok();
    let value = row.as_ref().and_then(|r| STANDARD.decode(&r.value).ok());
    match (row, value) {
        (Some(row), Some(value)) => Reply::Row(Some(Row {
            version: row.version,
            value,
        })),
        _ => Reply::Unanswered,
    }
}
