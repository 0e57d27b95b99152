//! The data path of gateway and agent.
