//! A model-aware router for versions and cascades.
//!
//! One binary runs as a `gateway` on entry hosts and as an `agent` beside each
//! upstream; operators drive it with the other commands. Imports run one way:
//! `policy` knows nothing of `control`, and `control` nothing of sockets.
//!
//! | module | job |
//! |---|---|
//! | [`resource`] | types of the resource API, checks, the configuration |
//! | [`policy`] | pure decisions: plans, quality, roll-outs, choice of upstream |
//! | [`control`] | the reducer over all control events, effects as data |
//! | [`http`] | what all HTTP listeners share |
//! | [`node`] | a running process: threads, sockets and the loop around the reducer |
//! | [`peer`] | messages between processes: codec, authentication, nng links |
//! | [`store`] | clients of the table service, the object store and the host list |
//! | [`traffic`] | the data path of gateway and agent |
//! | [`relay`] | a gateway that reaches upstreams directly, without agents |
//! | [`platform`] | adapter to the users' platform; nothing else knows its names |
//! | [`ops`] | operators' commands and the resource API |
//! | [`report`] | burn of service-level objectives |

pub mod control;
pub mod http;
pub mod node;
pub mod ops;
pub mod peer;
pub mod platform;
pub mod policy;
pub mod relay;
pub mod report;
pub mod resource;
pub mod store;
pub mod traffic;
