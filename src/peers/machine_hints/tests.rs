use super::*;
use proptest::prelude::*;

proptest! {
    /// What one leader learned reaches the next as it was.
    #[test]
    fn learned_survives_the_wire(
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
            .map(|(n, (speed, samples, held, heard_ms))| {
                let heard = heard_ms.map(|ms| now - Duration::from_millis(ms));
                (n.as_str().into(), MachineHints { speed, speed_samples: samples, images: held.iter().map(image).collect(), last_heartbeat: heard })
            })
            .collect();
        let (machines, images) = encode_machine_hints(all.iter().map(|(n, l)| (n, l.clone())), now);
        prop_assert!(images.len() <= 5);
        prop_assert_eq!(decode_machine_hints(machines, &images, now), all);
    }
}
