//! Guards against a replica whose configuration differs from the accepted one because a patch was
//! incomplete or was applied to another document.

use proptest::prelude::*;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

use tanager_protocol::config::ConfigDocument;
use tanager_protocol::config::PoolConfig;
use tanager_protocol::config::TeamConfig;
use tanager_protocol::config::TeamQuota;
use tanager_protocol::config::VmConfig;
use tanager_protocol::patch::ConfigPatch;
use tanager_protocol::patch::MAX_PATCH_OBJECTS;

fn name() -> impl Strategy<Value = String> {
    (0..6u8).prop_map(|index| format!("n{index}"))
}

fn pool() -> impl Strategy<Value = PoolConfig> {
    let quota = (0..3u32, 0..3u32).prop_map(|(rate, burst)| TeamQuota {
        rate,
        burst,
        weight: 1,
    });
    let quotas = proptest::collection::btree_map(name(), quota, 0..5);
    (name(), 0..3u32, quotas, any::<bool>()).prop_map(|(owner, floor, quotas, require_key)| {
        PoolConfig {
            owner,
            floor,
            quotas,
            require_key,
            ..PoolConfig::default()
        }
    })
}

fn document() -> impl Strategy<Value = ConfigDocument> {
    let vm = (0..4u8, name(), name()).prop_map(|(host, pool, zone)| VmConfig {
        address: ([10, 0, 0, host], 80).into(),
        pool,
        zone,
        rack: "r".to_owned(),
        slots: 8,
    });
    let team = name().prop_map(|token_sha256| TeamConfig { token_sha256 });
    let pools = proptest::collection::btree_map(name(), pool(), 0..6);
    let vms = proptest::collection::btree_map(name(), vm, 0..6);
    let teams = proptest::collection::btree_map(name(), team, 0..6);
    (name(), pools, vms, teams).prop_map(|(site, pools, vms, teams)| ConfigDocument {
        site,
        pools,
        vms,
        teams,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(20_261_204),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn patch_reproduces_the_new_document(before in document(), after in document()) {
        let patch = ConfigPatch::between(&before, &after);
        let text = serde_json::to_string(&patch).expect("encodable");
        let decoded: ConfigPatch = serde_json::from_str(&text).expect("decodable");
        prop_assert_eq!(&decoded, &patch);
        prop_assert_eq!(decoded.apply(&before), Ok(after.clone()));
        let unchanged = ConfigPatch::between(&after, &after);
        prop_assert_eq!(unchanged, ConfigPatch::default());
    }
}

macro_rules! refusal_cases {
    ($($case:ident: $patch:expr => $expected:expr;)*) => {
        $(#[test]
        fn $case() {
            let patch: ConfigPatch = serde_json::from_str($patch).expect("decodable");
            let problem = patch.apply(&ConfigDocument::default()).expect_err("must be refused");
            assert!(problem.contains($expected), "{problem}");
        })*
    };
}

refusal_cases! {
    removal_of_absent_vm: r#"{"removed_vms":["v"]}"# => "vm v is removed but";
    change_of_absent_pool: r#"{"set_pools":{"p":{"removed_quotas":["t"]}}}"# => "pool p is changed";
    removal_of_absent_quota: r#"{"set_pools":{"p":{"settings":{},"removed_quotas":["t"]}}}"#
        => "pool p: quota t is removed but";
    quotas_in_settings: r#"{"set_pools":{"p":{"settings":{"quotas":{
        "t":{"rate":1,"burst":1,"weight":1}}}}}}"# => "contain quotas";
}

/// Guards against log entries that are as large as the document that they replace.
#[test]
fn patch_size_is_limited() {
    let mut document = ConfigDocument::default();
    for index in 0..=MAX_PATCH_OBJECTS {
        let config = TeamConfig::default();
        document.teams.insert(format!("t{index}"), config);
    }
    let before = ConfigDocument::default();
    let patch = ConfigPatch::between(&before, &document);
    assert!(patch.apply(&before).is_err());
    document.teams.pop_first();
    let patch = ConfigPatch::between(&before, &document);
    assert_eq!(patch.apply(&before), Ok(document));
}
