package schedule

import "iter"

// orderedMap is a map that iterates in insertion order, so that equal events lead to equal decisions. Entries may be
// added and deleted during an iteration.
type orderedMap[K comparable, V any] struct {
	index      map[K]int // index of the key's entry
	entries    []orderedMapEntry[K, V]
	deleted    int // number of deleted entries that still occupy a slot
	iterations int // number of iterations in progress
}

type orderedMapEntry[K comparable, V any] struct {
	key     K
	value   V
	present bool
}

func newOrderedMap[K comparable, V any]() *orderedMap[K, V] {
	return &orderedMap[K, V]{index: map[K]int{}}
}

func (o *orderedMap[K, V]) len() int { return len(o.index) }

// get returns the value of key, or the zero value.
func (o *orderedMap[K, V]) get(key K) V {
	value, _ := o.lookup(key)
	return value
}

func (o *orderedMap[K, V]) lookup(key K) (value V, ok bool) {
	i, ok := o.index[key]
	if ok {
		value = o.entries[i].value
	}
	return value, ok
}

func (o *orderedMap[K, V]) set(key K, value V) {
	if i, ok := o.index[key]; ok {
		o.entries[i].value = value
		return
	}
	if o.iterations == 0 && o.deleted > len(o.entries)/2 {
		o.compact()
	}
	o.index[key] = len(o.entries)
	o.entries = append(o.entries, orderedMapEntry[K, V]{key, value, true})
}

func (o *orderedMap[K, V]) delete(key K) {
	if i, ok := o.index[key]; ok {
		o.entries[i] = orderedMapEntry[K, V]{}
		o.deleted++
		delete(o.index, key)
	}
}

func (o *orderedMap[K, V]) compact() {
	kept := o.entries[:0]
	for _, entry := range o.entries {
		if entry.present {
			o.index[entry.key] = len(kept)
			kept = append(kept, entry)
		}
	}
	clear(o.entries[len(kept):])
	o.entries, o.deleted = kept, 0
}

// all iterates over the entries that exist at its start and have not been deleted meanwhile.
func (o *orderedMap[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		o.iterations++
		defer func() { o.iterations-- }()
		for i, n := 0, len(o.entries); i < n; i++ {
			if entry := o.entries[i]; entry.present && !yield(entry.key, entry.value) {
				return
			}
		}
	}
}
