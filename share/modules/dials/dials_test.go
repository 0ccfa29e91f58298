package dials_test

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/dials"
)

const attempt = 20 * time.Millisecond

// deafPeer does not answer the first attempts.
type deafPeer struct {
	deaf, attempts int
}

func (p *deafPeer) dial(ctx context.Context) (net.Conn, error) {
	p.attempts++
	if p.attempts <= p.deaf {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, _ := net.Pipe()
	return conn, nil
}

// Guards against waiting a second for a peer that starts within milliseconds.
func TestUnansweredAttemptIsRepeated(t *testing.T) {
	is := is.New(t)
	p := &deafPeer{deaf: 3}
	conn, err := dials.Repeat(context.Background(), attempt, p.dial)
	is.NoErr(err)
	is.True(conn != nil)
	is.Equal(p.attempts, 4)
}

// Guards against a process that takes a whole core because it repeats attempts that fail at once, among them
// those that begin when the context is about to end.
func TestAttemptThatFailsAtOnceIsNotRepeated(t *testing.T) {
	for _, failure := range []error{os.ErrDeadlineExceeded, context.DeadlineExceeded, errors.New("refused")} {
		is := is.New(t)
		attempts := 0
		_, err := dials.Repeat(context.Background(), attempt, func(context.Context) (net.Conn, error) {
			attempts++
			return nil, failure
		})
		is.True(errors.Is(err, failure))
		is.Equal(attempts, 1)
	}
}

func TestContextEndsTheAttempts(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 3*attempt+attempt/2)
	defer cancel()
	p := &deafPeer{deaf: 1000}
	_, err := dials.Repeat(ctx, attempt, p.dial)
	is.True(err != nil)
	is.True(p.attempts <= 4)
}

func TestUnlimitedAttempt(t *testing.T) {
	is := is.New(t)
	p := &deafPeer{deaf: 1}
	ctx, cancel := context.WithTimeout(context.Background(), attempt)
	defer cancel()
	_, err := dials.Repeat(ctx, 0, p.dial)
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.Equal(p.attempts, 1)
}
