//! Whether a run may have been executed if its connection fails.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use crate::peer::Keys;
use crate::peer::message::Run;
use crate::traffic::gateway::attempt::{AgentClient, AttemptError};

const REMAINING: Duration = Duration::from_secs(30);

async fn send(addr: &str) -> AttemptError {
    let client = awc::Client::builder().disable_timeout().finish();
    let keys = Keys::new(b"a key of the cluster", None).unwrap();
    let agent = AgentClient {
        client: &client,
        keys: &keys,
        addr,
    };
    match agent.send(&Run::default(), REMAINING).await {
        Ok(_) => panic!("received an answer although no agent is running"),
        Err(error) => error,
    }
}

#[actix_rt::test]
async fn connection_that_closes_without_an_answer_loses_the_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    actix_rt::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        let read = connection.read(&mut [0; 1024]).await.unwrap();
        assert!(read > 0, "the agent receives the run");
    });
    assert!(matches!(send(&addr).await, AttemptError::Lost(_)));
}

#[actix_rt::test]
async fn run_without_a_listening_agent_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    drop(listener);
    assert!(matches!(send(&addr).await, AttemptError::NotSent(_)));
}
