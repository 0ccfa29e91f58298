package answer_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/answer"
	"verbenaroad.example/share/modules/codes"
)

func id(n uint32) answer.ID {
	return answer.ID{Request: "r", Stage: "rerank", Attempt: n, Incarnation: "i"}
}

func end(n uint32, bytes uint64) answer.EndReceived {
	return answer.EndReceived{ID: id(n), Result: *codes.NewResult(codes.OK, ""), Bytes: bytes}
}

func part(n uint32, bytes uint64) answer.PartReceived {
	return answer.PartReceived{ID: id(n), Bytes: bytes}
}

// A caller reads another caller's draft, or its own cut in the middle.
// Causes: an answer comes late, twice or for another request, a hedge and a
// retry answer together, or a stream ends early and looks finished.
func TestStage(t *testing.T) {
	crossed := id(1)
	crossed.Request = "another"
	restarted := id(1)
	restarted.Incarnation = "i2"
	for name, c := range map[string]struct {
		delivery answer.Delivery
		events   []answer.Event
		wins     []uint32
		fails    []codes.Code
		cancels  []uint32
		counts   answer.Counts
		closed   bool
	}{
		"whole answer":              {answer.DeliveryWhole, []answer.Event{part(1, 3), part(1, 4), end(1, 7)}, []uint32{1}, nil, []uint32{2}, answer.Counts{}, true},
		"second end":                {answer.DeliveryWhole, []answer.Event{end(1, 0), end(1, 0)}, []uint32{1}, nil, []uint32{2}, answer.Counts{Duplicate: 1}, true},
		"hedge answers late":        {answer.DeliveryWhole, []answer.Event{part(2, 1), end(1, 0), part(2, 1), end(2, 2)}, []uint32{1}, nil, []uint32{2}, answer.Counts{Late: 2}, true},
		"another request's":         {answer.DeliveryWhole, []answer.Event{answer.EndReceived{ID: crossed}}, nil, nil, nil, answer.Counts{Crossed: 1}, false},
		"another incarnation's":     {answer.DeliveryWhole, []answer.Event{answer.PartReceived{ID: restarted}}, nil, nil, nil, answer.Counts{Crossed: 1}, false},
		"byte missing":              {answer.DeliveryWhole, []answer.Event{part(1, 3), end(1, 4)}, nil, []codes.Code{codes.AnswerIncomplete}, nil, answer.Counts{}, false},
		"end missing":               {answer.DeliveryWhole, []answer.Event{part(1, 3), answer.StreamClosed{ID: id(1)}, end(1, 3)}, nil, []codes.Code{codes.AnswerIncomplete}, nil, answer.Counts{Duplicate: 1}, false},
		"one fails, the other wins": {answer.DeliveryWhole, []answer.Event{answer.StreamClosed{ID: id(1)}, end(2, 0)}, []uint32{2}, []codes.Code{codes.AnswerIncomplete}, nil, answer.Counts{}, true},
		"refusal":                   {answer.DeliveryWhole, []answer.Event{answer.EndReceived{ID: id(1), Result: *codes.NewResult(codes.Overloaded, "")}}, nil, []codes.Code{codes.Overloaded}, nil, answer.Counts{}, false},
		"first part decides":        {answer.DeliveryForward, []answer.Event{part(2, 1), part(1, 1), end(1, 1), end(2, 1)}, []uint32{2}, nil, []uint32{1}, answer.Counts{Late: 2}, true},
		"passed on, then cut":       {answer.DeliveryForward, []answer.Event{part(1, 1), answer.StreamClosed{ID: id(1)}}, nil, []codes.Code{codes.AnswerIncomplete}, []uint32{2}, answer.Counts{}, true},
		"given up":                  {answer.DeliveryWhole, []answer.Event{answer.GivenUp{}, end(1, 0)}, nil, nil, []uint32{1, 2}, answer.Counts{Late: 1}, true},
		"opened after the win":      {answer.DeliveryWhole, []answer.Event{end(1, 0), answer.Opened{ID: id(3)}}, []uint32{1}, nil, []uint32{2, 3}, answer.Counts{}, true},
		"id opened twice":           {answer.DeliveryWhole, []answer.Event{answer.Opened{ID: id(1)}}, nil, nil, []uint32{1}, answer.Counts{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := answer.NewStage("r", "rerank", c.delivery)
			events := append([]answer.Event{answer.Opened{ID: id(1)}, answer.Opened{ID: id(2)}}, c.events...)
			var wins, cancels []uint32
			var fails []codes.Code
			for _, e := range events {
				for _, a := range s.Step(e) {
					switch v := a.(type) {
					case answer.Win:
						wins = append(wins, v.ID.Attempt)
					case answer.Fail:
						fails = append(fails, v.Result.Code)
					case answer.Cancel:
						cancels = append(cancels, v.ID.Attempt)
					}
				}
			}
			is.Equal(wins, c.wins)
			is.Equal(fails, c.fails)
			is.Equal(cancels, c.cancels)
			is.Equal(s.Counts(), c.counts)
			is.Equal(s.Closed(), c.closed)
		})
	}
}
