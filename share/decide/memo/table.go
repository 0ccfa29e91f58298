// Package memo holds facts about requests that another ingress may need after the one that learnt them
// is lost. They are soft state: each has a limited lifetime, the number and the size of them are
// limited, and whoever looks one up must cope with its loss.
package memo

import (
	"container/list"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// ErrMemo is the class of errors of this package.
var ErrMemo = errs.Class("memo") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// MaxValueBytes limits the value of one memo.
const MaxValueBytes = 255

// maxKeyBytes limits the key of one memo.
const maxKeyBytes = 160

// Memo is one fact.
type Memo struct {
	Key   string
	Value []byte
	// ExpiresAt is when the memo is dropped.
	ExpiresAt time.Time
}

// Table holds a limited number of memos. It is not safe for concurrent use.
type Table struct {
	limit int
	// memos maps keys to the elements of order, which holds the memos from the least to the most recently
	// written one.
	memos map[string]*list.Element
	order *list.List
	// writes is the number of writes so far.
	writes uint64
}

// entry is a memo and the number of the write that put it there.
type entry struct {
	memo  Memo
	write uint64
}

// NewTable returns an empty table for up to limit memos.
func NewTable(limit int) *Table {
	return &Table{limit: limit, memos: map[string]*list.Element{}, order: list.New()}
}

// Put adds a memo or replaces the one with its key. If the table is full, the least recently written memo
// is dropped.
func (t *Table) Put(now time.Time, m Memo) error {
	if m.Key == "" || len(m.Key) > maxKeyBytes || len(m.Value) > MaxValueBytes {
		return ErrMemo.New("key of %d bytes, value of %d bytes", len(m.Key), len(m.Value))
	}
	t.Drop(m.Key)
	t.dropExpired(now)
	for len(t.memos) >= t.limit {
		t.Drop(valueOf(t.order.Front()).memo.Key)
	}
	t.writes++
	t.memos[m.Key] = t.order.PushBack(entry{memo: m, write: t.writes})
	return nil
}

// dropExpired drops the expired memos at the front of the order.
func (t *Table) dropExpired(now time.Time) {
	for e := t.order.Front(); e != nil && !now.Before(valueOf(e).memo.ExpiresAt); e = t.order.Front() {
		t.Drop(valueOf(e).memo.Key)
	}
}

// Find returns the memo with a key unless it has expired.
func (t *Table) Find(now time.Time, key string) (Memo, bool) {
	e, found := t.memos[key]
	if !found || !now.Before(valueOf(e).memo.ExpiresAt) {
		return Memo{}, false
	}
	return valueOf(e).memo, true
}

// Writes returns the number of writes so far.
func (t *Table) Writes() uint64 { return t.writes }

// ListSince returns the memos that were written after the given number of writes and have not expired, the first one
// first.
func (t *Table) ListSince(now time.Time, writes uint64) []Memo {
	memos := []Memo{}
	for e := t.order.Back(); e != nil && valueOf(e).write > writes; e = e.Prev() {
		if now.Before(valueOf(e).memo.ExpiresAt) {
			memos = append(memos, valueOf(e).memo)
		}
	}
	slices.Reverse(memos)
	return memos
}

// Drop removes the memo with a key, if there is one.
func (t *Table) Drop(key string) {
	if e, found := t.memos[key]; found {
		t.order.Remove(e)
		delete(t.memos, key)
	}
}

// Count returns the number of memos, including those that have expired and are not dropped yet.
func (t *Table) Count() int { return len(t.memos) }

func valueOf(e *list.Element) entry {
	value, _ := e.Value.(entry) // the list holds nothing else
	return value
}
