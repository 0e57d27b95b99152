//! A model-aware request router with version roll-outs and cascades.
//!
//! One binary runs as a `gateway` on entry hosts and as an `agent` beside each
//! upstream; operators control it with the other commands. Dependencies have
//! one direction: `policy` does not use `control`, and `control` does not use
//! sockets.
//!
//! | module | purpose |
//! |---|---|
//! | [`resource`] | resource types of the API, their checks, the configuration |
//! | [`policy`] | decisions without I/O: plans, quality, roll-outs, choice of upstream |
//! | [`control`] | the reducer of all control events, with effects as data |
//! | [`http`] | shared code of the HTTP listeners |
//! | [`node`] | a running process: threads, sockets and the loop around the reducer |
//! | [`peer`] | messages between processes: codec, authentication, nng links |
//! | [`store`] | clients of the table service, the object store and the host list |
//! | [`traffic`] | the data path of gateway and agent |
//! | [`relay`] | a gateway that calls upstreams directly, without agents |
//! | [`platform`] | adapter to the users' platform, whose names are used only here |
//! | [`ops`] | the operators' commands and the resource API |
//! | [`report`] | burn rates and error budgets of service-level objectives |

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
