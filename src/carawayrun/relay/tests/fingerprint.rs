use test_case::test_case;

use crate::relay::fingerprint::Fingerprint;

const REQUEST: [&str; 5] = ["GET", "shop.example", "/read/a", "shops", "body"];

fn fingerprint([method, host, path, team, body]: [&str; 5]) -> Fingerprint {
    Fingerprint::new(method, host, path, team, body.as_bytes())
}

#[test_case(0, "POST"; "method")]
#[test_case(1, "other.example"; "host")]
#[test_case(2, "/read/b"; "path")]
#[test_case(3, "depots"; "team")]
#[test_case(4, "other"; "body")]
fn request_with_another_field_has_another_fingerprint(field: usize, value: &'static str) {
    let mut other = REQUEST;
    other[field] = value;
    assert_ne!(fingerprint(REQUEST), fingerprint(other));
}

// Text must not move from one field to the next.
#[test]
fn fields_do_not_run_into_each_other() {
    let moved = ["GET", "shop.example", "/read/a", "shopsb", "ody"];
    assert_ne!(fingerprint(REQUEST), fingerprint(moved));
}

#[test]
fn fingerprint_is_the_same_as_text() {
    let own = fingerprint(REQUEST);
    assert_eq!(own.to_string().parse(), Ok(own));
    let malformed = "no digits".parse::<Fingerprint>();
    malformed.expect_err("it is no fingerprint");
}

// Relays agree on a fingerprint, however the body was cut.
#[test]
fn blocks_of_a_body_have_the_fingerprint_of_the_whole() {
    let whole = Fingerprint::new("POST", "shop.example", "/a", "shops", b"one and two");
    let blocks = [b"one".as_slice(), b" and ", b"two"];
    let cut = Fingerprint::of_blocks("POST", "shop.example", "/a", "shops", 11, blocks);
    assert_eq!(whole, cut);
}
