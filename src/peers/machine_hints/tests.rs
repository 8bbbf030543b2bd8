use super::*;
use proptest::prelude::*;

proptest! {
    /// Hints about machines are the same after they are encoded and decoded, so that the next leader
    /// receives those of the previous one unchanged.
    #[test]
    fn machine_hints_are_unchanged_by_encoding_and_decoding(
        all in prop::collection::btree_map(
            "i-[0-9]{4}",
            (0.1f64..10.0, 1u32..9, prop::collection::vec(0usize..5, 0..4), prop::option::of(0u64..9000)),
            0..20,
        ),
    ) {
        let now = Instant::now() + Duration::from_secs(10);
        let image = |i: &usize| (Name::from(format!("img-{i}")), *i as f64 + 1.0);
        let all: HashMap<Name, MachineHints> = all
            .into_iter()
            .map(|(n, (speed, samples, images, age_ms))| {
                let last_heartbeat = age_ms.map(|ms| now - Duration::from_millis(ms));
                (n.as_str().into(), MachineHints { speed, speed_samples: samples, images: images.iter().map(image).collect(), last_heartbeat })
            })
            .collect();
        let (machines, images) = encode_machine_hints(all.iter().map(|(n, l)| (n, l.clone())), now);
        prop_assert!(images.len() <= 5);
        prop_assert_eq!(decode_machine_hints(machines, &images, now), all);
    }
}
