//! Events that the reducer handles.

use bytes::Bytes;
use compact_str::CompactString;

use super::claims::{ClaimEnd, ClaimRequest, ClaimTicket};
use super::effect::{EngineOrder, Ticket};
use crate::peer::{RequestId, message};
use crate::resource::Change;
use crate::store::table::{TableAnswer, TableError};

/// An event that the reducer handles.
#[derive(Debug)]
pub enum Event {
    /// Passage of time; occurs every [`super::TICK`].
    Tick,
    /// A peer's message arrived with a valid authentication code.
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
    /// A request of this gateway has to be billed.
    BillDue(Box<Bill>),
    /// An attempt at this agent's upstream started, progressed or ended.
    UsageReported(Box<message::Usage>),
    /// The load of this agent's upstream changed.
    LoadChanged(Box<message::Load>),
    /// A request showed that this generation exists; this node may be behind
    /// it.
    GenerationSeen(u64),
    /// A request claims its idempotency key before it runs.
    ClaimRequested(ClaimTicket, Box<ClaimRequest>),
    /// A request that holds its idempotency key ended, or will not run.
    ClaimEnded(ClaimTicket, Box<ClaimEnd>),
    /// The engine answered an order, or the order failed.
    OrderAnswered(Box<EngineOrder>, OrderResult),
    /// The process was asked to stop; it starts to drain.
    StopRequested,
}

/// Result of an order to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine accepted the order.
    Accepted,
    /// The engine refused the order, having seen this higher fencing number.
    Fenced(u64),
    /// The engine did not answer, or refused for another reason.
    Failed,
}

/// A host in the platform's list, which lags behind the actual state.
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
    /// True if the platform is about to remove the host.
    pub leaving: bool,
}

/// Outcome of a request at a gateway, for quality estimates, burn rates and
/// roll-outs.
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
    /// True if a roll-out's random split of new requests assigned the version
    /// while the roll-out runs or is paused.
    pub compared: bool,
    /// True if the request failed because of this system or the upstream.
    pub failed: bool,
    /// True if the request was refused before it ran.
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
    /// True if a roll-out's random split of new requests assigned the version
    /// while the roll-out runs or is paused.
    pub compared: bool,
    /// The rating, in 0..=1.
    pub score: f64,
}

/// Cost of one request to its team: one record, however many attempts and
/// cascade steps the request took.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Bill {
    /// Sequence of the request within its gateway's incarnation.
    pub sequence: u64,
    /// Name of the team.
    pub team: CompactString,
    /// Name of the service.
    pub service: CompactString,
    /// Sum over the steps, in millionths of the currency unit.
    pub cost_micros: u64,
    /// The attempts that ran; empty if nothing is charged.
    pub steps: Vec<BillStep>,
    /// Attempts that ran or may have run, and whose usage the agent has not
    /// reported yet.
    #[serde(skip)]
    pub awaited: Vec<AwaitedStep>,
}

/// An attempt whose usage its gateway does not know yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AwaitedStep {
    /// Number of the cascade step.
    pub step: u32,
    /// Upstream that may have run the attempt.
    pub upstream: CompactString,
}

/// A billed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct BillStep {
    /// Number of the cascade step.
    pub step: u32,
    /// Version; empty for plain services.
    pub version: CompactString,
    /// Upstream that ran the attempt.
    pub upstream: CompactString,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens that were read from the cache.
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
