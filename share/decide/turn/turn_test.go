package turn_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/turn"
)

// Guards against a write that all ingresses make at once, and against one that nobody makes since the first one
// by rank is cut off.
func TestNextByRankTakesOver(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	after := start.Add
	o := turn.NewOrder(3 * time.Second)
	is.True(o.IsTurn(start, "a", 0))
	is.True(!o.IsTurn(start, "b", 1))
	is.True(!o.IsTurn(start, "c", -1))
	is.True(!o.IsTurn(after(2900*time.Millisecond), "b", 1))
	is.True(o.IsTurn(after(3*time.Second), "b", 1))
	is.True(!o.IsTurn(after(time.Hour), "c", -1))
	o.Retain([]string{"a"})
	is.True(!o.IsTurn(after(2*time.Hour), "b", 1)) // due anew
}
