//! How a test reaches the processes of its world.

use serde_json::Value;

use super::bills::Bills;
use super::caller::{Caller, read_json, send_json};
use super::eventually;
use super::manifest::{self, LUZCENA_KEY};
use super::process::Process;
use super::world::{
    FIRST_GATEWAY, FIRST_UPSTREAM, HTTP_PORT, OPERATOR_KEY, OPERATOR_PORT, TABLE, World, product,
};

impl World {
    /// URL of a gateway's operators' listener.
    pub(crate) fn operator_url(&self, gateway: usize) -> String {
        format!(
            "http://{}",
            self.addr(FIRST_GATEWAY + gateway, OPERATOR_PORT)
        )
    }

    /// An operator's command that may ask all gateways.
    pub(crate) fn operator_command(&self) -> std::process::Command {
        let urls: Vec<String> = (0..self.gateways.len())
            .map(|number| self.operator_url(number))
            .collect();
        let mut command = std::process::Command::new(product());
        command
            .env("CARAWAYRUN_SERVER", urls.join(","))
            .env("CARAWAYRUN_OPERATOR_KEY", OPERATOR_KEY);
        command
    }

    /// A caller of `gateway` with a team's key.
    pub(crate) fn caller(&self, gateway: usize, key: &str) -> Caller {
        Caller::new(
            &format!("http://{}", self.addr(FIRST_GATEWAY + gateway, HTTP_PORT)),
            key,
        )
    }

    /// Reads JSON from a gateway's operators' API; `Null` where it fails.
    pub(crate) async fn operator_get(&self, gateway: usize, path: &str) -> Value {
        read_json(
            &format!("{}{path}", self.operator_url(gateway)),
            OPERATOR_KEY,
        )
        .await
    }

    /// Sends JSON to a gateway's operators' API and returns the status.
    pub(crate) async fn operator_send(
        &self,
        gateway: usize,
        method: awc::http::Method,
        path: &str,
        body: &Value,
    ) -> u16 {
        send_json(
            method,
            &format!("{}{path}", self.operator_url(gateway)),
            OPERATOR_KEY,
            body,
        )
        .await
    }

    /// Applies a manifest through gateway 0.
    pub(crate) async fn apply(&self, manifest: &Value) {
        let status = self
            .operator_send(0, awc::http::Method::POST, "/apis/v1/apply", manifest)
            .await;
        assert!((200..300).contains(&status), "apply answered {status}");
    }

    /// Waits until all live gateways have at least `generation` in force.
    pub(crate) async fn in_force(&self, generation: u64) {
        for number in 0..self.gateways.len() {
            eventually("generation in force", || async {
                let status = self.operator_get(number, "/apis/v1/status").await;
                status["generation"]
                    .as_u64()
                    .is_some_and(|found| found >= generation)
            })
            .await;
        }
    }

    /// Waits until each gateway knows all agents that run as open, with all
    /// versions of their upstreams warm, and serves each service.
    pub(crate) async fn agents_open(&self) {
        for number in 0..self.gateways.len() {
            eventually("all agents are open and warm", || async {
                self.all_warm(&self.operator_get(number, "/apis/v1/status").await)
            })
            .await;
            let caller = self.caller(number, LUZCENA_KEY);
            eventually("a chat is served", || async {
                caller.send(Caller::chat("scene", 2, false)).await.is_ok()
            })
            .await;
            eventually("a status read is served", || async {
                caller
                    .send(Caller::get("/services/home/status"))
                    .await
                    .is_ok()
            })
            .await;
        }
    }

    fn all_warm(&self, status: &Value) -> bool {
        let agents = status["agents"].as_array().map_or(&[][..], Vec::as_slice);
        self.slots.iter().all(|slot| {
            let wanted = manifest::versions_of(slot).len();
            agents.iter().any(|agent| {
                let warm = agent["warm"].as_array().map_or(0, Vec::len);
                agent["upstream"] == slot.upstream && agent["open"] == true && warm == wanted
            })
        })
    }

    /// Sets the faults of the table service.
    pub(crate) async fn table_faults(&self, faults: &Value) {
        self.faults(TABLE, faults).await;
    }

    /// Sets the faults of the upstream in slot `number`.
    pub(crate) async fn upstream_faults(&self, number: usize, faults: &Value) {
        self.faults(FIRST_UPSTREAM + number, faults).await;
    }

    async fn faults(&self, host: usize, faults: &Value) {
        let url = format!("http://{}/faults", self.addr(host, HTTP_PORT));
        assert_eq!(
            send_json(awc::http::Method::PUT, &url, "", faults).await,
            200,
            "{url}"
        );
    }

    /// Rows of the table service, by prefix.
    pub(crate) async fn rows(&self, prefix: &str) -> Vec<Value> {
        let url = format!(
            "http://{}/v1/rows?prefix={prefix}",
            self.addr(TABLE, HTTP_PORT)
        );
        let body = read_json(&url, "").await;
        body["rows"].as_array().cloned().unwrap_or_default()
    }

    /// All bills in the table.
    pub(crate) async fn bills(&self) -> Bills {
        Bills::of_rows(&self.rows("bill/").await)
    }

    /// The process of the table service.
    pub(crate) fn table(&mut self) -> &mut Process {
        &mut self.platform[0]
    }

    /// How often each effect was run by the plain service in slot `number`.
    pub(crate) async fn effects(&self, number: usize) -> Value {
        let url = format!(
            "http://{}/effects",
            self.addr(FIRST_UPSTREAM + number, HTTP_PORT)
        );
        read_json(&url, "").await["effects"].take()
    }
}
