package queue

// victim returns the entry to evict from a full queue in favor of the new entry e, or nil when e is
// to be refused. It searches from the lowest class up to that of e and picks, in the first class
// with waiting items, the item with the most slack of the team furthest over its share. It refuses
// e when that class is e's own and e's team would be at least as far over its share. In FIFO mode
// it always refuses e.
func (q *Queue) victim(e *entry) *entry {
	if q.settings.Mode == ModeFIFO {
		return nil
	}
	for rank := classCount - 1; rank >= e.class; rank-- {
		c := q.classes[rank]
		f := c.furthestOverShare()
		if f == nil {
			continue
		}
		if rank == e.class && f.virtualFinish() <= c.nextVirtualStart(e.team, e.weight)+e.item.Cost/e.weight {
			return nil
		}
		return f.mostSlack()
	}
	return nil
}

// mostSlack returns the entry of the flow with the most slack; of equal ones the last to arrive.
func (f *flow) mostSlack() *entry {
	last := f.items.entries[0]
	for _, e := range f.items.entries {
		if last.key.Before(e.key) || last.key.Equal(e.key) && last.sequence < e.sequence {
			last = e
		}
	}
	return last
}
