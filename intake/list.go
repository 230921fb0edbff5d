package intake

// list is a list of members in the order in which they were added, the oldest first. The zero value is an empty list.
type list struct{ first, last *member }

func (l *list) push(m *member) {
	m.previous, m.next = l.last, nil
	if l.last != nil {
		l.last.next = m
	} else {
		l.first = m
	}
	l.last = m
}

func (l *list) remove(m *member) {
	if m.previous != nil {
		m.previous.next = m.next
	} else {
		l.first = m.next
	}
	if m.next != nil {
		m.next.previous = m.previous
	} else {
		l.last = m.previous
	}
	m.previous, m.next = nil, nil
}

// oldestHolder returns the oldest member other than m that holds bytes, which count against LargeBytes if onlyLarge is set.
func (l *list) oldestHolder(m *member, onlyLarge bool) *member {
	for v := l.first; v != nil; v = v.next {
		if v != m && v.held > 0 && (v.large || !onlyLarge) {
			return v
		}
	}
	return nil
}
