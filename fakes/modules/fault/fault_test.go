package fault_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/modules/fault"
)

// takeLostAnswers returns, for each of a number of calls, whether its answer is lost.
func takeLostAnswers(s *fault.Switch, calls int, method string) []bool {
	lost := make([]bool, calls)
	for i := range lost {
		lost[i] = s.TakeLostAnswer(method)
	}
	return lost
}

func countLost(lost []bool) int {
	n := 0
	for _, isLost := range lost {
		if isLost {
			n++
		}
	}
	return n
}

// TestLostAnswerCount checks how many of 100 calls lose their answer, by method, count and
// probability.
func TestLostAnswerCount(t *testing.T) {
	tests := map[string]struct {
		lost   fault.LostAnswer
		method string
		want   int
	}{
		"none":         {fault.LostAnswer{}, http.MethodPut, 0},
		"count":        {fault.LostAnswer{Count: 3}, http.MethodPut, 3},
		"always":       {fault.LostAnswer{Probability: 1}, http.MethodPut, 100},
		"other method": {fault.LostAnswer{Count: 3}, http.MethodGet, 0},
		"both":         {fault.LostAnswer{Count: 2, Probability: 0.5, Seed: 1}, http.MethodPut, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := fault.NewSwitch()
			s.Set(fault.Settings{Methods: []string{http.MethodPut}, LostAnswer: test.lost})
			is.Equal(countLost(takeLostAnswers(s, 100, test.method)), test.want)
		})
	}
}

// TestLostAnswerIsReproducible checks that the same seed selects the same calls again.
func TestLostAnswerIsReproducible(t *testing.T) {
	is := is.New(t)
	s := fault.NewSwitch()
	settings := fault.Settings{LostAnswer: fault.LostAnswer{Probability: 0.5, Seed: 7}}
	s.Set(settings)
	first := takeLostAnswers(s, 50, http.MethodPut)
	s.Set(settings)
	is.Equal(takeLostAnswers(s, 50, http.MethodPut), first)
}

// TestSettingsAsJSON checks that settings have durations with units in JSON and leave out unset
// faults.
func TestSettingsAsJSON(t *testing.T) {
	is := is.New(t)
	var settings fault.Settings
	is.NoErr(json.Unmarshal([]byte(`{"slow":"250ms","lost-answer":{"count":1}}`), &settings))
	data, err := json.Marshal(settings)
	is.NoErr(err)
	is.Equal(string(data), `{"slow":"250ms","lost-answer":{"count":1}}`)
}
