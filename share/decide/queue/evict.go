package queue

// victim returns the entry that makes room for a new one, or nil when the new one is to be refused:
// the item with the most slack of the team furthest over its share in the lowest class.
func (q *Queue) victim(e *entry) *entry {
	if q.settings.Mode == ModeFIFO {
		return nil
	}
	for rank := classes - 1; rank >= e.class; rank-- {
		c := q.classes[rank]
		f := c.mostOverShare()
		if f == nil {
			continue
		}
		if rank == e.class && f.finish() <= c.startOf(e.team, e.weight)+e.item.Cost/e.weight {
			return nil
		}
		return f.mostSlack()
	}
	return nil
}

func (f *flow) mostSlack() *entry {
	last := f.items.entries[0]
	for _, e := range f.items.entries {
		if last.key.Before(e.key) || last.key.Equal(e.key) && last.sequence < e.sequence {
			last = e
		}
	}
	return last
}
