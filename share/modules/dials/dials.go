// Package dials opens connections.
package dials

import (
	"context"
	"errors"
	"net"
	"time"
)

// Func opens a connection.
type Func func(ctx context.Context) (net.Conn, error)

// Repeat opens a connection in attempts of the given length until one succeeds, one fails for another reason
// than its length, or the context ends. An attempt of length 0 is not limited and not repeated.
//
// The first packet to a process that is about to start is lost, and the kernel sends it again only after a
// second.
func Repeat(ctx context.Context, attempt time.Duration, dial Func) (net.Conn, error) {
	if attempt == 0 {
		return dial(ctx)
	}
	for {
		began := time.Now()
		conn, err := limit(ctx, attempt, dial)
		// An attempt that ended early was not ended by its limit. Without this check an error that is
		// returned at once, or a context that is about to end, would be retried without a pause.
		if err == nil || !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err) || time.Since(began) < attempt {
			return conn, err
		}
	}
}

func limit(ctx context.Context, attempt time.Duration, dial Func) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, attempt)
	defer cancel()
	return dial(ctx)
}

func isTimeout(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) && failed.Timeout()
}
