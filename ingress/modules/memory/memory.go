// Package memory limits the memory that a process holds for callers and servers: bodies of requests
// that arrive slowly or wait for a server, and answers that callers have not read yet.
package memory

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrExhausted means that the memory for callers' requests is in use.
var ErrExhausted = errors.New("memory for requests and answers exhausted")

// minChunk is the smallest amount of memory, in bytes, that is taken for data of unknown length. Each
// request may hold as much outside of the budget, which the number of connections limits: a few large
// requests must not shut out all small ones.
const minChunk = 4 << 10

// Budget is the memory for all requests of a process. It is safe for concurrent use.
type Budget struct {
	// limit is in bytes.
	limit int64
	// used is in bytes, at most limit.
	used atomic.Int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

func (b *Budget) take(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// NewAccount returns an account without memory.
func (b *Budget) NewAccount() *Account { return &Account{budget: b} }

// Account is the memory of one request. It is not safe for concurrent use.
type Account struct {
	budget *Budget
	// held is in bytes.
	held int64
}

// Close returns the memory of the account to the budget.
func (a *Account) Close() {
	a.budget.used.Add(-countedBytes(a.held))
	a.held = 0
}

// countedBytes returns how many of the bytes that an account holds count in the budget.
func countedBytes(held int64) int64 { return max(held-minChunk, 0) }

func (a *Account) take(n int64) bool {
	if !a.budget.take(countedBytes(a.held+n) - countedBytes(a.held)) {
		return false
	}
	a.held += n
	return true
}

// ReadAll reads until the end of the reader and keeps the data in the account. Expected is the number
// of bytes if it is known, or else 0 or less. If the budget is exhausted, ReadAll returns what it has
// read so far and ErrExhausted. Other errors are those of the reader.
func (a *Account) ReadAll(r io.Reader, expected int64) ([]byte, error) {
	data := []byte{}
	for {
		if len(data) == cap(data) {
			grown, err := a.grow(data, expected)
			if err != nil {
				return data, err
			}
			data = grown
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}

// grow returns the data with room for more. Data of a known length gets room in steps as well, so that
// a length that is announced but never sent takes no memory.
func (a *Account) grow(data []byte, expected int64) ([]byte, error) {
	held := int64(cap(data))
	size := max(2*held, minChunk)
	if expected > 0 && expected >= held {
		size = min(size, expected+1) // one more byte, so that the end of the data is read without growing
	}
	added := size - held
	if !a.take(added) {
		return nil, ErrExhausted
	}
	return append(make([]byte, 0, size), data...), nil
}
