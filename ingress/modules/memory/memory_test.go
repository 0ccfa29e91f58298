package memory_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"verbenaroad.example/ingress/modules/memory"
)

// Guards against a process that is killed because many callers send or read slowly: what all requests
// hold together stays within the budget, and is free again when they end.
func TestRequestsShareOneBudget(t *testing.T) {
	is := is.New(t)
	const limit, size = 1 << 20, 100 << 10
	budget := memory.NewBudget(limit)
	accounts := []*memory.Account{}
	held := 0
	for range 100 {
		a := budget.NewAccount()
		accounts = append(accounts, a)
		data, err := a.ReadAll(strings.NewReader(strings.Repeat("x", size)), size)
		if err == nil {
			held++
			is.Equal(len(data), size)
			continue
		}
		is.True(errors.Is(err, memory.ErrExhausted))
	}
	is.True(budget.Used() <= limit)
	is.True(held >= limit/size-2 && held <= limit/(size-4<<10))
	small, err := budget.NewAccount().ReadAll(strings.NewReader("abc"), 3)
	is.NoErr(err) // large requests do not shut out small ones
	is.Equal(string(small), "abc")
	for _, a := range accounts {
		a.Close()
		a.Close()
	}
	is.Equal(budget.Used(), int64(0))
}

// Guards against a budget that is exhausted by announced lengths: a caller that sends nothing holds next
// to nothing.
func TestAnnouncedLengthTakesNoMemory(t *testing.T) {
	is := is.New(t)
	budget := memory.NewBudget(64 << 10)
	a := budget.NewAccount()
	_, err := a.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 1<<30)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.Equal(budget.Used(), int64(0))
}

// Guards against losing the part of an answer that was read before the budget was exhausted.
func TestDataReadBeforeExhaustionIsKept(t *testing.T) {
	is := is.New(t)
	sent := bytes.Repeat([]byte("0123456789"), 10<<10)
	source := iotest.OneByteReader(bytes.NewReader(sent))
	a := memory.NewBudget(40 << 10).NewAccount()
	read, err := a.ReadAll(source, -1)
	is.True(errors.Is(err, memory.ErrExhausted))
	rest, err := io.ReadAll(source)
	is.NoErr(err)
	is.True(bytes.Equal(append(read, rest...), sent))
}

func TestDataOfKnownLengthTakesNoMore(t *testing.T) {
	is := is.New(t)
	budget := memory.NewBudget(1 << 20)
	a := budget.NewAccount()
	const size = 10_000
	data, err := a.ReadAll(strings.NewReader(strings.Repeat("x", size)), size)
	is.NoErr(err)
	is.Equal(len(data), size)
	is.Equal(budget.Used(), int64(size+1-4<<10))
}
