//! Wire format of statements and permits, which entries exchange.

use std::time::Duration;

use prost::Message;

use super::{LimitStatement, PermitAction, PermitItem, PermitMessage, ServerKey};

/// First byte of an encoded permit message: field 3, length-delimited. Messages with load summaries have other fields, and
/// a process that does not know permits skips the field.
const FIRST_BYTE: u8 = 0x1a;

#[derive(Clone, PartialEq, Message)]
struct WireEnvelope {
    #[prost(message, optional, tag = "3")]
    permits: Option<WirePermits>,
}

#[derive(Clone, PartialEq, Message)]
struct WirePermits {
    #[prost(fixed64, tag = "1")]
    sender: u64,
    #[prost(message, repeated, tag = "2")]
    items: Vec<WireItem>,
}

#[derive(Clone, PartialEq, Message)]
struct WireItem {
    #[prost(fixed64, tag = "1")]
    server: u64,
    #[prost(uint64, tag = "2")]
    sequence: u64,
    #[prost(uint32, tag = "3")]
    action: u32,
    #[prost(uint32, tag = "4")]
    count: u32,
    #[prost(uint32, tag = "5")]
    rank: u32,
    #[prost(message, optional, tag = "6")]
    statement: Option<WireStatement>,
}

#[derive(Clone, PartialEq, Message)]
struct WireStatement {
    #[prost(fixed64, tag = "1")]
    server: u64,
    /// Absent if the limit has ended.
    #[prost(double, optional, tag = "2")]
    per_s: Option<f64>,
    #[prost(uint32, tag = "3")]
    requested_age_ms: u32,
    #[prost(uint32, tag = "4")]
    answered_age_ms: u32,
}

#[derive(Clone, PartialEq, Message)]
struct WireStatements {
    #[prost(message, repeated, tag = "1")]
    statements: Vec<WireStatement>,
}

const ACTION_REQUEST: u32 = 1;
const ACTION_GRANT: u32 = 2;
const ACTION_RETURN: u32 = 3;

/// Returns whether a datagram holds a permit message.
#[must_use]
pub fn is_permit_message(datagram: &[u8]) -> bool {
    datagram.first() == Some(&FIRST_BYTE)
}

/// Encodes a permit message. Times are sent as ages at `now`, since the entries' clocks differ.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::server_limit::{PermitMessage, wire};
///
/// let message = PermitMessage { sender: 7, items: Vec::new() };
/// let datagram = wire::encode(Duration::ZERO, &message);
/// assert!(wire::is_permit_message(&datagram));
/// assert_eq!(wire::decode(Duration::ZERO, &datagram), Some(message));
/// ```
#[must_use]
pub fn encode(now: Duration, message: &PermitMessage) -> Vec<u8> {
    let items = message.items.iter().map(|item| wire_item(now, item));
    let permits = WirePermits {
        sender: message.sender,
        items: items.collect(),
    };
    WireEnvelope {
        permits: Some(permits),
    }
    .encode_to_vec()
}

/// Decodes a permit message. Returns `None` for malformed data and other messages; items of unknown kinds are left out.
#[must_use]
pub fn decode(now: Duration, datagram: &[u8]) -> Option<PermitMessage> {
    let permits = WireEnvelope::decode(datagram).ok()?.permits?;
    let items = permits.items.iter();
    Some(PermitMessage {
        sender: permits.sender,
        items: items.filter_map(|item| permit_item(now, item)).collect(),
    })
}

/// Encodes statements for a load summary; empty if there are none.
#[must_use]
pub fn encode_statements(now: Duration, statements: &[(ServerKey, LimitStatement)]) -> Vec<u8> {
    let statements = statements.iter();
    WireStatements {
        statements: statements
            .map(|(server, statement)| wire_statement(now, *server, statement))
            .collect(),
    }
    .encode_to_vec()
}

/// Decodes statements; `None` for malformed data.
#[must_use]
pub fn decode_statements(now: Duration, data: &[u8]) -> Option<Vec<(ServerKey, LimitStatement)>> {
    let statements = WireStatements::decode(data).ok()?.statements;
    let decoded = statements.iter().filter_map(|item| statement(now, item));
    Some(decoded.collect())
}

fn wire_item(now: Duration, item: &PermitItem) -> WireItem {
    let (action, count, rank) = match item.action {
        PermitAction::Request { count, rank } => (ACTION_REQUEST, count, rank),
        PermitAction::Grant { count } => (ACTION_GRANT, count, 0),
        PermitAction::Return { count } => (ACTION_RETURN, count, 0),
    };
    let statement = item.statement.as_ref();
    WireItem {
        server: item.server,
        sequence: item.sequence,
        action,
        count,
        rank: rank.into(),
        statement: statement.map(|statement| wire_statement(now, item.server, statement)),
    }
}

fn permit_item(now: Duration, item: &WireItem) -> Option<PermitItem> {
    let count = item.count;
    let action = match item.action {
        ACTION_REQUEST => PermitAction::Request {
            count,
            rank: u8::try_from(item.rank).unwrap_or(u8::MAX),
        },
        ACTION_GRANT => PermitAction::Grant { count },
        ACTION_RETURN => PermitAction::Return { count },
        _ => return None,
    };
    let statement = item.statement.as_ref();
    Some(PermitItem {
        server: item.server,
        sequence: item.sequence,
        action,
        statement: statement
            .and_then(|item| self::statement(now, item))
            .map(|(_, statement)| statement),
    })
}

fn wire_statement(now: Duration, server: ServerKey, statement: &LimitStatement) -> WireStatement {
    WireStatement {
        server,
        per_s: statement.limit,
        requested_age_ms: age_ms(now, statement.requested_at),
        answered_age_ms: age_ms(now, statement.answered_at),
    }
}

fn statement(now: Duration, item: &WireStatement) -> Option<(ServerKey, LimitStatement)> {
    if item
        .per_s
        .is_some_and(|rate| !rate.is_finite() || rate < 0.0)
    {
        return None;
    }
    let at = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
    let statement = LimitStatement {
        limit: item.per_s,
        requested_at: at(item.requested_age_ms),
        answered_at: at(item.answered_age_ms),
    };
    Some((item.server, statement))
}

fn age_ms(now: Duration, at: Duration) -> u32 {
    u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
}
