use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::relay::memory::{HolderKey, MemoryAccount, MemoryFull, MemoryUse};

const MEGABYTE: usize = 1 << 20;

/// Memory of a host: the limit is 24 MB, of these 15 MB for requests.
const HOST_MEMORY: u64 = 64 << 20;
const LIMIT: usize = 24 * MEGABYTE;

const fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

// Opens a request that has received `bytes` of a body of `length`.
fn request(account: &mut MemoryAccount, length: usize, bytes: usize, now: Duration) -> HolderKey {
    let key = account.open(MemoryUse::Request, now);
    account.announce(key, length);
    account.reserve(key, bytes, now).unwrap();
    key
}

fn full_account(now: Duration) -> (MemoryAccount, Vec<HolderKey>) {
    let mut account = MemoryAccount::new(HOST_MEMORY);
    let open = (0..15).map(|_| request(&mut account, MEGABYTE + 1, MEGABYTE, now));
    let keys = open.collect();
    (account, keys)
}

#[test]
fn body_of_smallest_host_fits() {
    let mut account = MemoryAccount::new(88 << 20);
    let key = account.open(MemoryUse::Request, millis(0));
    assert_eq!(account.reserve(key, 4 * MEGABYTE, millis(0)), Ok(0));
}

// Those that stop just short of their end stay connected.
#[test]
fn silent_requests_give_way() {
    let (mut account, keys) = full_account(millis(0));
    // All but the third go on.
    for (index, key) in keys.iter().enumerate() {
        if index != 2 {
            assert_eq!(account.reserve(*key, MEGABYTE, millis(200)), Ok(0));
        }
    }
    let key = account.open(MemoryUse::Request, millis(300));
    assert_eq!(account.reserve(key, MEGABYTE, millis(300)), Ok(1));
    assert!(!account.contains(keys[2]));
    assert_eq!(
        account.reserve(keys[2], MEGABYTE, millis(300)),
        Err(MemoryFull)
    );
}

#[test]
fn request_about_to_end_keeps_its_memory() {
    let (mut account, keys) = full_account(millis(0));
    let key = account.open(MemoryUse::Request, millis(100));
    assert_eq!(account.reserve(key, MEGABYTE, millis(100)), Err(MemoryFull));
    assert!(keys.iter().all(|key| account.contains(*key)));
}

#[test]
fn slowest_request_gives_way() {
    let mut account = MemoryAccount::new(HOST_MEMORY);
    let slow = request(&mut account, 4 * MEGABYTE, 100 * 1024, millis(0));
    let fast = request(&mut account, 15 * MEGABYTE, 14 * MEGABYTE, millis(0));
    assert_eq!(account.reserve(slow, 200 * 1024, millis(1_000)), Ok(0));
    assert_eq!(account.reserve(fast, 14 * MEGABYTE, millis(1_000)), Ok(0));
    let key = request(&mut account, MEGABYTE, 900 * 1024, millis(1_000));
    assert!(!account.contains(slow));
    assert!(account.contains(fast) && account.contains(key));
}

// A request that was read whole may run: to drop it would not be "not run".
#[test]
fn request_read_whole_gives_way_to_nobody() {
    let (mut account, keys) = full_account(millis(0));
    for key in &keys {
        account.finish_reading(*key);
    }
    let key = account.open(MemoryUse::Request, millis(5_000));
    assert_eq!(
        account.reserve(key, MEGABYTE, millis(5_000)),
        Err(MemoryFull)
    );
    assert!(keys.iter().all(|key| account.contains(*key)));
}

#[test]
fn small_requests_and_answers_fit_beside_bodies() {
    let (mut account, _) = full_account(millis(0));
    let small = account.open(MemoryUse::Request, millis(0));
    assert_eq!(account.reserve(small, 64 * 1024, millis(0)), Ok(0));
    let answer = account.open(MemoryUse::Answer, millis(0));
    assert_eq!(account.reserve(answer, 5 * MEGABYTE, millis(0)), Ok(0));
    assert_eq!(
        account.reserve(answer, 7 * MEGABYTE, millis(0)),
        Err(MemoryFull)
    );
}

// To end others for a request that is refused all the same helps nobody.
#[test]
fn nobody_gives_way_in_vain() {
    let (mut account, keys) = full_account(millis(0));
    for key in &keys[1..] {
        account.finish_reading(*key);
    }
    let key = account.open(MemoryUse::Request, millis(500));
    assert_eq!(
        account.reserve(key, 2 * MEGABYTE, millis(500)),
        Err(MemoryFull)
    );
    assert!(account.contains(keys[0]));
    assert_eq!(account.reserve(key, MEGABYTE, millis(500)), Ok(1));
}

// Answers may fill more than requests; those that are read meanwhile go on.
#[test]
fn holder_that_needs_no_more_is_not_refused() {
    let (mut account, keys) = full_account(millis(0));
    let answer = account.open(MemoryUse::Answer, millis(0));
    assert_eq!(account.reserve(answer, 5 * MEGABYTE, millis(0)), Ok(0));
    assert_eq!(account.reserve(keys[0], MEGABYTE, millis(100)), Ok(0));
}

#[test]
fn closed_holders_return_their_memory() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut account = MemoryAccount::new(HOST_MEMORY);
        let mut keys = Vec::new();
        for step in 0..400 {
            let now = millis(step * 20);
            if keys.is_empty() || rng.random_bool(0.3) {
                let purpose = if rng.random() {
                    MemoryUse::Request
                } else {
                    MemoryUse::Answer
                };
                keys.push(account.open(purpose, now));
            }
            let index = rng.random_range(0..keys.len());
            if rng.random_bool(0.2) {
                account.close(keys.swap_remove(index));
            } else {
                let bytes = rng.random_range(0..4 * MEGABYTE);
                let _ = account.reserve(keys[index], bytes, now);
            }
            assert!(account.held() <= LIMIT, "{seed}: {}", account.held());
        }
        for key in keys {
            account.close(key);
        }
        assert_eq!(account.held(), 0, "{seed}");
    }
}

// Clients that read slowly keep their answers until the memory is short.
#[test]
fn answers_that_nobody_takes_give_way() {
    let mut account = MemoryAccount::new(HOST_MEMORY);
    let answer = |account: &mut MemoryAccount| {
        let key = account.open(MemoryUse::Answer, millis(0));
        account.reserve(key, 10 * MEGABYTE, millis(0)).unwrap();
        key
    };
    let [untaken, taken] = [answer(&mut account), answer(&mut account)];
    account.record_delivery(untaken, millis(0));
    account.record_delivery(taken, millis(0));
    account.record_delivery(taken, millis(900));
    // One that is not being delivered yet does not fit, and has nobody's memory but this.
    let next = account.open(MemoryUse::Answer, millis(1_000));
    assert_eq!(account.reserve(next, 8 * MEGABYTE, millis(1_000)), Ok(1));
    assert!(!account.contains(untaken) && account.contains(taken));
    account.release(taken, MEGABYTE);
    assert_eq!(account.held(), 9 * MEGABYTE);
}

// Adds a connection that holds nothing but its base.
fn connection(account: &mut MemoryAccount, base: usize, now: Duration) -> HolderKey {
    let key = account.open(MemoryUse::Request, now);
    account.reserve_base(key, base, now).unwrap();
    key
}

// Thousands of connections with little to read cost more than their bytes.
#[test]
fn silent_connections_give_way_to_new_ones() {
    const BASE: usize = 32 * 1024;
    let mut account = MemoryAccount::new(HOST_MEMORY);
    let room = LIMIT / BASE;
    let open = |number: usize| millis(number as u64);
    let keys: Vec<HolderKey> = (0..room)
        .map(|number| connection(&mut account, BASE, open(number)))
        .collect();
    let now = millis(room as u64 + 1_000);
    // One goes on; the first of the others are the longest silent.
    account.begin_reading(keys[0], now);
    let new = connection(&mut account, BASE, now);
    assert!(account.contains(new) && account.contains(keys[0]));
    assert!(!account.contains(keys[1]) && account.contains(keys[room - 1]));
    assert!(account.held() <= LIMIT);
    let evicted = account.take_evicted();
    assert!((1..=room / 32).contains(&evicted.len()), "{evicted:?}");
    assert_eq!(account.take_evicted(), Vec::new());
}

#[test]
fn connections_that_have_only_begun_refuse_another() {
    const BASE: usize = MEGABYTE;
    let mut account = MemoryAccount::new(HOST_MEMORY);
    let open = (0..LIMIT / BASE).map(|_| connection(&mut account, BASE, millis(0)));
    let keys: Vec<HolderKey> = open.collect();
    let key = account.open(MemoryUse::Request, millis(100));
    assert_eq!(
        account.reserve_base(key, BASE, millis(100)),
        Err(MemoryFull)
    );
    assert!(keys.iter().all(|key| account.contains(*key)));
    account.reserve_base(keys[0], 0, millis(100)).unwrap();
    assert_eq!(account.reserve_base(key, BASE, millis(100)), Ok(0));
}

#[test]
fn longest_silent_connection_gives_way_at_limit_of_connections() {
    let mut account = MemoryAccount::new(HOST_MEMORY);
    let first = connection(&mut account, 1, millis(0));
    let second = connection(&mut account, 1, millis(100));
    account.evict_silent(millis(200));
    assert_eq!(account.take_evicted(), Vec::new());
    account.evict_silent(millis(400));
    assert_eq!(account.take_evicted(), vec![first]);
    account.finish_reading(second);
    account.evict_silent(millis(900));
    assert!(account.contains(second));
}
