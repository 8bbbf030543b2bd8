use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn ranges_behave_like_a_set(ops in prop::collection::vec((any::<bool>(), 0u32..60), 0..120)) {
        let (mut r, mut s) = (Ranges::default(), std::collections::BTreeSet::new());
        for (add, n) in ops {
            if add { prop_assert_eq!(r.insert(n), s.insert(n)); } else { prop_assert_eq!(r.remove(n), s.remove(&n)); }
            prop_assert_eq!(r.iter().collect::<Vec<_>>(), s.iter().copied().collect::<Vec<_>>());
            prop_assert_eq!(r.len() as usize, s.len());
            prop_assert!(r.0.windows(2).all(|w| w[0].1 < w[1].0), "ranges stay apart");
        }
        prop_assert!((0..60).all(|n| r.contains(n) == s.contains(&n)));
        prop_assert!((0..61).all(|n| r.below(n) as usize == s.range(..n).count()));
        prop_assert_eq!(r.last(), s.last().copied());
        let first = r.first_parts(2);
        prop_assert_eq!(first.parts(), r.parts().min(2));
        prop_assert!(first.iter().eq(r.iter().take(first.len() as usize)));
    }

    /// What a job needs survives the store, each name once; without any,
    /// absent and null are the same and leave no trace.
    #[test]
    fn needs_survive_the_wire(ids in prop::collection::vec(0u32..30, 0..12)) {
        let names: Vec<Name> = ids.iter().map(|n| format!("j-{n}").into()).collect();
        let plain = crate::example::spec("j-000001", 1);
        let with_needs = JobSpec { needs: names.clone(), ..(*plain).clone() };
        let bytes = crate::http::encode(&with_needs);
        let back: JobSpec = crate::http::decode(&bytes).expect("our own bytes");
        let mut seen = std::collections::HashSet::new();
        let once: Vec<Name> = names.into_iter().filter(|n| seen.insert(n.clone())).collect();
        prop_assert_eq!(&back.needs, &once);
        let mut value = rmpv::decode::read_value(&mut &bytes[..]).expect("a map");
        let rmpv::Value::Map(fields) = &mut value else { panic!("a map") };
        let at = fields.iter().position(|f| f.0.as_str() == Some("awaits"));
        prop_assert_eq!(at.is_none(), ids.is_empty());
        for (strange, good) in [(rmpv::Value::Nil, true), ("j-1".into(), false), (7.into(), false)] {
            fields.retain(|f| f.0.as_str() != Some("awaits"));
            fields.push(("awaits".into(), strange));
            let mut bytes = Vec::new();
            rmpv::encode::write_value(&mut bytes, &rmpv::Value::Map(fields.clone())).expect("to memory");
            let read = crate::http::decode::<JobSpec>(&bytes);
            prop_assert_eq!(read.ok().map(|s| s.needs.len()), good.then_some(0));
        }
    }

    #[test]
    fn tasks_survive_the_wire(n in 0u32..1_000_000, i in any::<u32>()) {
        let t = Task { job: format!("j-{n:06}").into(), index: i };
        prop_assert_eq!(Task::parse(&t.to_string()), Some(t));
    }
}
