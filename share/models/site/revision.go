package site

import (
	"cmp"
	"strconv"
)

// Revision identifies a change of the platform's store. The zero value comes before every change.
//
// The store can be restored from a copy. Then a new era begins: changes that were made after the copy are
// lost, and their numbers are given out again. Two revisions are therefore compared by era first, and equal
// numbers of two eras belong to different changes.
type Revision struct {
	Era    uint64
	Number uint64
}

// Compare returns a negative number if the revision comes before the other one, 0 if they are equal, and a
// positive number if it comes after it.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// IsAfter reports whether the revision comes after the other one.
func (r Revision) IsAfter(other Revision) bool { return r.Compare(other) > 0 }

// IsZero reports whether the revision is that of no change.
func (r Revision) IsZero() bool { return r == Revision{} }

// Latest returns the later one of two revisions.
func (r Revision) Latest(other Revision) Revision {
	if other.IsAfter(r) {
		return other
	}
	return r
}

// String returns the era and the number, separated by a slash.
func (r Revision) String() string {
	return strconv.FormatUint(r.Era, 10) + "/" + strconv.FormatUint(r.Number, 10)
}

// Lease identifies a lease of the platform's store. The zero value stands for no lease. The IDs of leases that
// were granted after the copy was made from which the store was restored are given out again, so that the same
// ID in another era may be somebody else's lease.
type Lease struct {
	Era uint64
	ID  uint64
}

// IsZero reports whether the value stands for no lease.
func (l Lease) IsZero() bool { return l.ID == 0 }
