// Package memo holds facts about requests that another ingress may need after the one that learnt them
// is lost. They are soft state: each has a limited lifetime, the number and the size of them are
// limited, and whoever looks one up must cope with its loss.
package memo

import (
	"container/list"
	"time"

	"github.com/zeebo/errs"
)

// ErrMemo is the class of errors of this package.
var ErrMemo = errs.Class("memo") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// MaxValueBytes limits the value of one memo.
const MaxValueBytes = 256

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
		t.Drop(valueOf(t.order.Front()).Key)
	}
	t.memos[m.Key] = t.order.PushBack(m)
	return nil
}

// dropExpired drops the expired memos at the front of the order.
func (t *Table) dropExpired(now time.Time) {
	for e := t.order.Front(); e != nil && !now.Before(valueOf(e).ExpiresAt); e = t.order.Front() {
		t.Drop(valueOf(e).Key)
	}
}

// Find returns the memo with a key unless it has expired.
func (t *Table) Find(now time.Time, key string) (Memo, bool) {
	e, found := t.memos[key]
	if !found || !now.Before(valueOf(e).ExpiresAt) {
		return Memo{}, false
	}
	return valueOf(e), true
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

func valueOf(e *list.Element) Memo {
	m, _ := e.Value.(Memo) // the list holds nothing else
	return m
}
