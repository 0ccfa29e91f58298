package fault_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/modules/fault"
)

func take(s *fault.Switch, calls int, method string) []bool {
	hits := make([]bool, calls)
	for i := range hits {
		hits[i] = s.TakeLostAnswer(method)
	}
	return hits
}

func count(hits []bool) int {
	n := 0
	for _, hit := range hits {
		if hit {
			n++
		}
	}
	return n
}

func TestLostAnswerChoice(t *testing.T) {
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
			is.Equal(count(take(s, 100, test.method)), test.want)
		})
	}
}

func TestLostAnswerIsRepeatable(t *testing.T) {
	is := is.New(t)
	s := fault.NewSwitch()
	settings := fault.Settings{LostAnswer: fault.LostAnswer{Probability: 0.5, Seed: 7}}
	s.Set(settings)
	first := take(s, 50, http.MethodPut)
	s.Set(settings)
	is.Equal(take(s, 50, http.MethodPut), first)
}

func TestSettingsAsJSON(t *testing.T) {
	is := is.New(t)
	var settings fault.Settings
	is.NoErr(json.Unmarshal([]byte(`{"slow":"250ms","lost-answer":{"count":1}}`), &settings))
	data, err := json.Marshal(settings)
	is.NoErr(err)
	is.Equal(string(data), `{"slow":"250ms","lost-answer":{"count":1}}`)
}
