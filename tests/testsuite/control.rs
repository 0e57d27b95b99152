//! Nodes with their sockets and threads, before a platform of a few lines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use carawayrun::control::{Admission, Event, HostEntry, Role};
use carawayrun::http::{Listener, ServerOptions, bind, json, read_body, text};
use carawayrun::node::{Handle, NodeSettings, PlatformSettings, spawn};
use carawayrun::peer::Keys;
use carawayrun::peer::message::MemberState;
use carawayrun::resource::{
    Change, ChangeAction, ChangeItem, HEAD_KEY, Head, WriteId, change_key, parse_manifests,
    resource_key,
};
use carawayrun::store::table::{
    Condition, Put, Row, TableAnswer, TableCall, TableError, Transaction,
};
use carawayrun::store::{ObjectClient, TableClient};
use compact_str::{CompactString, format_compact};
use serde::Deserialize;
use serde_json::json as value;
use serde_json::value::to_raw_value;

/// What the platform does with its next calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mood {
    Well,
    Down,
    /// Commits take effect, and the connection ends without an answer.
    LosesAnswers,
}

struct Platform {
    listener: Listener,
    shared: Arc<Mutex<Shared>>,
}

struct Shared {
    mood: Mood,
    rows: BTreeMap<CompactString, Row>,
    objects: BTreeMap<String, bytes::Bytes>,
    hosts: Vec<HostEntry>,
}

#[derive(Deserialize)]
struct ReadBody {
    keys: Vec<CompactString>,
}

impl Platform {
    fn open() -> Self {
        let shared = Arc::new(Mutex::new(Shared {
            mood: Mood::Well,
            rows: BTreeMap::new(),
            objects: BTreeMap::new(),
            hosts: Vec::new(),
        }));
        let options = ServerOptions {
            name: "platform",
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            workers: 1,
            drain: Duration::from_secs(1),
        };
        let served = Arc::clone(&shared);
        let make = move || {
            let shared = Arc::clone(&served);
            move |request| serve(request, Arc::clone(&shared))
        };
        let listener = bind(&options, make).unwrap();
        Self { listener, shared }
    }

    fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    fn set(&self, mood: Mood) {
        self.shared.lock().unwrap().mood = mood;
    }

    /// Starts a node and lists its host.
    fn node(&self, name: &str, role: Role) -> Handle {
        let handle = spawn(NodeSettings {
            name: name.into(),
            role,
            data_centre: "curepipe".into(),
            peer_listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            peer_addr: None,
            http_addr: CompactString::default(),
            upstream: CompactString::default(),
            keys: Keys::new(b"a key for tests only", None).unwrap(),
            platform: PlatformSettings {
                table_addr: self.addr(),
                objects_addr: Some(self.addr()),
                hosts_addr: self.addr(),
            },
            statsd_addr: None,
        })
        .unwrap();
        let host = HostEntry {
            name: name.into(),
            data_centre: "curepipe".into(),
            peer_addr: CompactString::from(handle.peer_addr().to_string()),
            leaving: false,
        };
        self.shared.lock().unwrap().hosts.push(host);
        handle
    }

    /// Commits a change, as the resource API would.
    fn accept(&self, generation: u64) -> Change {
        let resource = parse_manifests(&format!(
            "apiVersion: carawayrun/v1\nkind: Service\nmetadata: {{name: booking-{generation}}}\n\
             spec: {{backend: plain}}\n"
        ))
        .unwrap()
        .remove(0);
        let name = resource.metadata.name.clone();
        let change = Change {
            generation,
            write_id: WriteId(format_compact!("write-{generation}")),
            author: "foreman".into(),
            reason: "test".into(),
            time: "2026-01-01T00:00:00Z".into(),
            items: vec![ChangeItem {
                action: ChangeAction::Put,
                kind: resource.kind,
                name: name.clone(),
                before: None,
                after: Some(resource.clone()),
            }],
        };
        let mut shared = self.shared.lock().unwrap();
        shared.put(&put(HEAD_KEY.into(), &Head { generation }));
        shared.put(&put(change_key(generation), &change));
        shared.put(&put(resource_key(resource.kind, &name), &resource));
        change
    }
}

impl Shared {
    fn put(&mut self, put: &Put) {
        let version = self.version(&put.key) + 1;
        let row = Row {
            key: put.key.clone(),
            version,
            value: put.value.clone(),
        };
        self.rows.insert(put.key.clone(), row);
    }

    fn version(&self, key: &CompactString) -> u64 {
        self.rows.get(key).map_or(0, |row| row.version)
    }

    fn commit(&mut self, transaction: &Transaction) -> Response<BoxBody> {
        let holds = |condition: &&Condition| self.version(&condition.key) == condition.version;
        let failed = transaction
            .conditions
            .iter()
            .filter(|condition| !holds(condition));
        let keys: Vec<&CompactString> = failed.map(|condition| &condition.key).collect();
        if !keys.is_empty() {
            let rows: Vec<_> = keys.iter().filter_map(|key| self.rows.get(*key)).collect();
            return json(StatusCode::CONFLICT, &value!({ "rows": rows }));
        }
        for put in &transaction.puts {
            self.put(put);
        }
        json(StatusCode::OK, &value!({}))
    }
}

async fn serve(mut request: Request, shared: Arc<Mutex<Shared>>) -> Response<BoxBody> {
    let body = read_body(request.take_payload(), 1 << 20).await.unwrap();
    let path = request.path().to_owned();
    let mut shared = shared.lock().unwrap();
    if path == "/v1/hosts" {
        return json(StatusCode::OK, &shared.hosts);
    }
    if shared.mood == Mood::Down {
        return text(StatusCode::SERVICE_UNAVAILABLE, "down");
    }
    match path.as_str() {
        "/v1/read" => {
            let read: ReadBody = serde_json::from_slice(&body).unwrap();
            let rows: Vec<_> = read
                .keys
                .iter()
                .filter_map(|key| shared.rows.get(key))
                .collect();
            json(StatusCode::OK, &value!({ "rows": rows }))
        }
        "/v1/commit" => {
            let answer = shared.commit(&serde_json::from_slice(&body).unwrap());
            if shared.mood == Mood::LosesAnswers {
                return broken();
            }
            answer
        }
        _ => object(&request, &path, body, &mut shared),
    }
}

fn object(
    request: &Request,
    path: &str,
    body: bytes::Bytes,
    shared: &mut Shared,
) -> Response<BoxBody> {
    if request.method() == actix_http::Method::PUT {
        shared.objects.insert(path.to_owned(), body);
        return text(StatusCode::OK, "");
    }
    match shared.objects.get(path) {
        Some(bytes) => carawayrun::http::stream(
            StatusCode::OK,
            "application/octet-stream",
            futures_util::stream::iter([Ok::<_, std::io::Error>(bytes.clone())]),
        ),
        None => text(StatusCode::NOT_FOUND, ""),
    }
}

// An answer whose body ends in an error ends the connection.
fn broken() -> Response<BoxBody> {
    let cut = std::io::Error::other("cut");
    carawayrun::http::stream(
        StatusCode::OK,
        "application/json",
        futures_util::stream::iter([Err::<bytes::Bytes, _>(cut)]),
    )
}

fn put(key: CompactString, value: &impl serde::Serialize) -> Put {
    let value = to_raw_value(value).unwrap();
    Put { key, value }
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let limit = Duration::from_mins(1);
    actix_rt::time::timeout(limit, waiting)
        .await
        .unwrap_or_else(|_| panic!("never: {what}"));
}

fn sees(handle: &Handle, name: &str, state: MemberState) -> bool {
    let view = handle.view();
    view.members
        .iter()
        .any(|member| member.node.name == name && member.state == state)
}

fn is_at(handle: &Handle, generation: u64) -> bool {
    handle.view().config.generation == generation
}

#[actix_rt::test]
async fn nodes_meet_follow_and_part() {
    let platform = Platform::open();
    let nodes = [
        platform.node("gateway-1", Role::Gateway),
        platform.node("gateway-2", Role::Gateway),
        platform.node("gateway-3", Role::Gateway),
    ];
    let open = |handle: &Handle| handle.admission() == Admission::Open;
    until("all are open", || nodes.iter().all(open)).await;

    let change = platform.accept(1);
    nodes[0].post(Event::ChangeAccepted(Box::new(change)));
    until("all have the change", || {
        nodes.iter().all(|node| is_at(node, 1))
    })
    .await;
    until("each knows that all have it", || {
        let known = |node: &Handle| {
            node.view()
                .members
                .iter()
                .filter(|m| m.generation == 1)
                .count()
        };
        nodes.iter().all(|node| known(node) == 3)
    })
    .await;

    nodes[2].post(Event::StopRequested);
    until("the others know that it leaves", || {
        nodes[..2]
            .iter()
            .all(|node| sees(node, "gateway-3", MemberState::Leaving))
    })
    .await;
    nodes[2].close().await;
    until("the others know that it is gone", || {
        nodes[..2]
            .iter()
            .all(|node| sees(node, "gateway-3", MemberState::Dead))
    })
    .await;
    for node in &nodes[..2] {
        node.close().await;
    }
    platform.listener.stop(false).await;
}

#[actix_rt::test]
async fn a_node_that_starts_while_the_table_is_down_opens_by_a_peer() {
    let platform = Platform::open();
    let first = platform.node("gateway-1", Role::Gateway);
    platform.accept(1);
    until("the first has it", || is_at(&first, 1)).await;
    platform.set(Mood::Down);
    let second = platform.node("gateway-2", Role::Gateway);
    until("the second has it and is open", || {
        is_at(&second, 1) && second.admission() == Admission::Open
    })
    .await;
    first.close().await;
    second.close().await;
    platform.listener.stop(false).await;
}

#[actix_rt::test]
async fn the_table_client_tells_what_took_effect() {
    let platform = Platform::open();
    let client = TableClient::new(platform.addr());
    let claim = |version| {
        TableCall::Commit(Transaction {
            conditions: vec![Condition {
                key: "work/x".into(),
                version,
            }],
            puts: vec![put("work/x".into(), &"a")],
            deletes: Vec::new(),
        })
    };
    assert!(matches!(
        client.call(claim(0)).await,
        Ok(TableAnswer::Committed)
    ));
    let conflict = client.call(claim(0)).await;
    assert!(
        matches!(&conflict, Err(TableError::Conflict { rows }) if rows[0].version == 1),
        "{conflict:?}"
    );

    platform.set(Mood::LosesAnswers);
    let lost = client.call(claim(1)).await;
    assert!(matches!(lost, Err(TableError::Lost { .. })), "{lost:?}");

    platform.set(Mood::Down);
    let refused = client.call(claim(2)).await;
    assert!(
        matches!(refused, Err(TableError::Unavailable { .. })),
        "{refused:?}"
    );

    platform.set(Mood::Well);
    let read = client.call(TableCall::Read(vec!["work/x".into()])).await;
    assert!(
        matches!(&read, Ok(TableAnswer::Rows(rows)) if rows[0].version == 2),
        "{read:?}"
    );
    platform.listener.stop(false).await;

    let nobody = TableClient::new(unused_addr());
    let unreached = nobody.call(claim(2)).await;
    assert!(
        matches!(unreached, Err(TableError::Unavailable { .. })),
        "{unreached:?}"
    );
}

#[actix_rt::test]
async fn the_object_client_reads_what_it_wrote() {
    let platform = Platform::open();
    let client = ObjectClient::new(platform.addr());
    assert_eq!(client.get("config/snapshot").await.unwrap(), None);
    client
        .put("config/snapshot", "content".into())
        .await
        .unwrap();
    let read = client.get("config/snapshot").await.unwrap();
    assert_eq!(read.as_deref(), Some(b"content".as_slice()));
    platform.listener.stop(false).await;
}

fn unused_addr() -> SocketAddr {
    let taken = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
    taken.local_addr().unwrap()
}
