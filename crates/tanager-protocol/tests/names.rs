//! Verifies that identifiers which cannot be part of a table key or a header are rejected.

use tanager_protocol::ids::is_valid_name;

macro_rules! name_cases {
    ($($case:ident: $name:expr => $valid:expr;)*) => {
        $(#[test]
        fn $case() {
            assert_eq!(is_valid_name($name), $valid, "{:?}", $name);
        })*
    };
}

name_cases! {
    plain: "diary-intake" => true;
    dotted: "vm-1.rack_2" => true;
    digit_first: "3rd" => true;
    empty: "" => false;
    upper_case: "Pool" => false;
    slash: "a/b" => false;
    leading_dash: "-a" => false;
    non_ascii: "lärm" => false;
    longest: &"a".repeat(64) => true;
    too_long: &"a".repeat(65) => false;
}
