//! What happens to the reducer.

use bytes::Bytes;
use compact_str::CompactString;

use super::claims::{ClaimEnd, ClaimRequest, ClaimTicket};
use super::effect::{EngineOrder, Ticket};
use crate::peer::{RequestId, message};
use crate::resource::Change;
use crate::store::table::{TableAnswer, TableError};

/// One event.
#[derive(Debug)]
pub enum Event {
    /// Time passed; comes every [`super::TICK`].
    Tick,
    /// A peer's message arrived and its authentication code was right.
    MessageReceived(Box<message::Envelope>),
    /// The table service answered, or a call to it failed.
    TableAnswered(Ticket, Result<TableAnswer, TableError>),
    /// The platform's host list was read.
    HostsListed(Vec<HostEntry>),
    /// A snapshot of the configuration was read from the object store.
    SnapshotRead(Bytes),
    /// An operator's change was accepted through this node.
    ChangeAccepted(Box<Change>),
    /// A request ended at this gateway.
    RequestEnded(Box<RequestOutcome>),
    /// An answer of this gateway was rated.
    AnswerRated(Box<Rating>),
    /// A request of this gateway is due for billing.
    BillDue(Box<Bill>),
    /// An attempt at this agent's upstream started, moved on or ended.
    UsageReported(Box<message::Usage>),
    /// The load of this agent's upstream changed.
    LoadChanged(Box<message::Load>),
    /// A request showed that a generation exists which this node may not have.
    GenerationSeen(u64),
    /// A request wants to run under its idempotency key.
    ClaimRequested(ClaimTicket, Box<ClaimRequest>),
    /// A request that holds its idempotency key ended, or will not run.
    ClaimEnded(ClaimTicket, Box<ClaimEnd>),
    /// The engine answered an order, or the order failed.
    OrderAnswered(Box<EngineOrder>, OrderResult),
    /// The process was told to stop; it drains.
    StopRequested,
}

/// What became of an order to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine took it.
    Accepted,
    /// The engine has seen this higher fencing number.
    Fenced(u64),
    /// No answer, or another refusal.
    Failed,
}

/// A host as the platform lists it; the list lags.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct HostEntry {
    /// Name of the node on it.
    pub name: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// host:port of the nng listener.
    pub peer_addr: CompactString,
    /// True where the platform is taking it away.
    pub leaving: bool,
}

/// How a request ended at a gateway, for quality, burn and roll-outs.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestOutcome {
    /// The request.
    pub id: RequestId,
    /// Name of the team.
    pub team: CompactString,
    /// Name of the service.
    pub service: CompactString,
    /// Task, or method and path of a plain call.
    pub task: CompactString,
    /// Version that answered; empty for plain services.
    pub version: CompactString,
    /// True where the version was drawn by a roll-out's random split.
    pub compared: bool,
    /// True where the answer failed through our side or the upstream's.
    pub failed: bool,
    /// True where the request was refused before it ran.
    pub refused: bool,
    /// Time to the first byte, in milliseconds.
    pub first_ms: u64,
    /// Time to the last byte, in milliseconds.
    pub total_ms: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
}

/// A rating of one answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Rating {
    /// Version that answered.
    pub version: CompactString,
    /// Task of the request.
    pub task: CompactString,
    /// True where the version was drawn by a roll-out's random split.
    pub compared: bool,
    /// The rating, in 0..=1.
    pub score: f64,
}

/// What one request costs its team: one record whatever the number of attempts
/// and cascade steps.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Bill {
    /// Sequence of the request within its gateway's life.
    pub sequence: u64,
    /// Name of the team.
    pub team: CompactString,
    /// Name of the service.
    pub service: CompactString,
    /// Sum over the steps, in millionths of the currency unit.
    pub cost_micros: u64,
    /// The attempts that ran; none where nothing has to be paid.
    pub steps: Vec<BillStep>,
    /// Attempts that ran, or may have, and whose usage the agent still has to
    /// tell.
    #[serde(skip)]
    pub awaited: Vec<AwaitedStep>,
}

/// An attempt whose usage is not known at its gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AwaitedStep {
    /// Number of the cascade step.
    pub step: u32,
    /// Upstream that may have run it.
    pub upstream: CompactString,
}

/// One attempt that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct BillStep {
    /// Number of the cascade step.
    pub step: u32,
    /// Version; empty for plain services.
    pub version: CompactString,
    /// Upstream that ran it.
    pub upstream: CompactString,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens that were in the cache.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
    /// Cost, in millionths of the currency unit.
    pub cost_micros: u64,
}

impl From<&message::Usage> for BillStep {
    fn from(usage: &message::Usage) -> Self {
        Self {
            step: usage.step,
            version: usage.version.as_str().into(),
            upstream: usage.upstream.as_str().into(),
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: usage.cached_tokens,
            completion_tokens: usage.completion_tokens,
            cost_micros: usage.cost_micros,
        }
    }
}
