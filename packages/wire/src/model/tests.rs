//! Property tests of the encodings and of the set of task indexes.

use super::*;
use proptest::prelude::*;

proptest! {
    /// A set of ranges has the contents of a `BTreeSet` after the same operations, and its ranges stay apart.
    #[test]
    fn ranges_match_a_btree_set_after_any_inserts_and_removes(
        operations in prop::collection::vec((any::<bool>(), 0u32..60), 0..120)
    ) {
        let (mut ranges, mut expected) = (TaskIndexSet::default(), std::collections::BTreeSet::new());
        for (add, index) in operations {
            if add {
                prop_assert_eq!(ranges.insert(index), expected.insert(index));
            } else {
                prop_assert_eq!(ranges.remove(index), expected.remove(&index));
            }
            prop_assert_eq!(ranges.iter().collect::<Vec<_>>(), expected.iter().copied().collect::<Vec<_>>());
            prop_assert_eq!(ranges.len() as usize, expected.len());
            prop_assert!(ranges.0.windows(2).all(|pair| pair[0].1 < pair[1].0), "ranges overlap or are adjacent");
        }
        prop_assert!((0..60).all(|index| ranges.contains(index) == expected.contains(&index)));
        prop_assert!((0..61).all(|limit| ranges.count_below(limit) as usize == expected.range(..limit).count()));
        prop_assert_eq!(ranges.last(), expected.last().copied());
        let first = ranges.first_ranges(2);
        prop_assert_eq!(first.range_count(), ranges.range_count().min(2));
        prop_assert!(first.iter().eq(ranges.iter().take(first.len() as usize)));
    }

    /// The dependencies of a job are decoded without duplicates.  An empty list is not encoded, null
    /// is decoded as an empty list, and a value that is no list is rejected.
    #[test]
    fn dependencies_are_decoded_without_duplicates_and_omitted_if_empty(ids in prop::collection::vec(0u32..30, 0..12)) {
        let names: Vec<Name> = ids.iter().map(|number| format!("j-{number}").into()).collect();
        let without_dependencies = crate::example::job_array("j-000001", 1);
        let with_dependencies = JobSpec { dependencies: names.clone(), ..(*without_dependencies).clone() };
        let bytes = crate::http::encode(&with_dependencies);
        let decoded: JobSpec = crate::http::decode(&bytes).expect("an encoded job decodes");
        let mut seen = std::collections::HashSet::new();
        let expected: Vec<Name> = names.into_iter().filter(|name| seen.insert(name.clone())).collect();
        prop_assert_eq!(&decoded.dependencies, &expected);
        let mut value = rmpv::decode::read_value(&mut &bytes[..]).expect("the encoded job is MessagePack");
        let rmpv::Value::Map(fields) = &mut value else { panic!("the encoded job is not a map") };
        let needs_position = fields.iter().position(|field| field.0.as_str() == Some("awaits"));
        prop_assert_eq!(needs_position.is_none(), ids.is_empty());
        for (needs, is_valid) in [(rmpv::Value::Nil, true), ("j-1".into(), false), (7.into(), false)] {
            fields.retain(|field| field.0.as_str() != Some("awaits"));
            fields.push(("awaits".into(), needs));
            let mut bytes = Vec::new();
            rmpv::encode::write_value(&mut bytes, &rmpv::Value::Map(fields.clone()))
                .expect("writing to memory succeeds");
            let decoded = crate::http::decode::<JobSpec>(&bytes);
            prop_assert_eq!(decoded.ok().map(|spec| spec.dependencies.len()), is_valid.then_some(0));
        }
    }

    /// Task ids are written as `job/index` and read back.
    #[test]
    fn parsing_the_text_form_of_a_task_returns_the_same_task(job in 0u32..1_000_000, task_index in any::<u32>()) {
        let task = Task { job: format!("j-{job:06}").into(), index: task_index };
        prop_assert_eq!(Task::parse(&task.to_string()), Some(task));
    }
}
