package pace_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/pace"
)

// Guards against a single statement, which holds for a fraction of a second, deciding alone.
func TestStatementsAreSmoothed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := pace.Pace{}
	is.Equal(p.At(now), 1.0)
	p.Observe(now, 3)
	is.True(p.At(now) > 1 && p.At(now) < 3)
	for range 20 {
		p.Observe(now, 3)
	}
	is.True(p.At(now) > 2.9)
	p.Observe(now, 0) // not stated
	is.True(p.At(now) > 2.9)
}

// Guards against a server that is left alone for good because of its last statement.
func TestStatementLosesItsEffectWithAge(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := pace.Pace{}
	p.Observe(now, 1000)
	last := p.At(now)
	is.True(last <= 4)
	for range 12 {
		now = now.Add(100 * time.Millisecond)
		is.True(p.At(now) < last)
		last = p.At(now)
	}
	is.Equal(last, 1.0)
}
