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

// Guards against callers receiving another caller's answer or a truncated one. Causes: an answer
// arrives late, twice or for another request, a hedge and a retry both answer, or a stream ends
// early and looks complete.
func TestStage(t *testing.T) {
	otherRequest := id(1)
	otherRequest.Request = "another"
	otherIncarnation := id(1)
	otherIncarnation.Incarnation = "i2"
	for name, c := range map[string]struct {
		delivery answer.Delivery
		events   []answer.Event
		accepted []uint32
		failed   []codes.Code
		canceled []uint32
		counts   answer.Counts
		closed   bool
	}{
		"complete answer":                          {answer.DeliveryBuffered, []answer.Event{part(1, 3), part(1, 4), end(1, 7)}, []uint32{1}, nil, []uint32{2}, answer.Counts{}, true},
		"duplicate end record":                     {answer.DeliveryBuffered, []answer.Event{end(1, 0), end(1, 0)}, []uint32{1}, nil, []uint32{2}, answer.Counts{Duplicate: 1}, true},
		"second attempt answers late":              {answer.DeliveryBuffered, []answer.Event{part(2, 1), end(1, 0), part(2, 1), end(2, 2)}, []uint32{1}, nil, []uint32{2}, answer.Counts{Late: 2}, true},
		"answer to another request":                {answer.DeliveryBuffered, []answer.Event{answer.EndReceived{ID: otherRequest}}, nil, nil, nil, answer.Counts{UnknownAttempt: 1}, false},
		"answer of another incarnation":            {answer.DeliveryBuffered, []answer.Event{answer.PartReceived{ID: otherIncarnation}}, nil, nil, nil, answer.Counts{UnknownAttempt: 1}, false},
		"missing byte":                             {answer.DeliveryBuffered, []answer.Event{part(1, 3), end(1, 4)}, nil, []codes.Code{codes.AnswerIncomplete}, nil, answer.Counts{}, false},
		"missing end record":                       {answer.DeliveryBuffered, []answer.Event{part(1, 3), answer.StreamClosed{ID: id(1)}, end(1, 3)}, nil, []codes.Code{codes.AnswerIncomplete}, nil, answer.Counts{Duplicate: 1}, false},
		"one attempt fails, another succeeds":      {answer.DeliveryBuffered, []answer.Event{answer.StreamClosed{ID: id(1)}, end(2, 0)}, []uint32{2}, []codes.Code{codes.AnswerIncomplete}, nil, answer.Counts{}, true},
		"refusal":                                  {answer.DeliveryBuffered, []answer.Event{answer.EndReceived{ID: id(1), Result: *codes.NewResult(codes.Overloaded, "")}}, nil, []codes.Code{codes.Overloaded}, nil, answer.Counts{}, false},
		"first part selects the attempt":           {answer.DeliveryStreamed, []answer.Event{part(2, 1), part(1, 1), end(1, 1), end(2, 1)}, []uint32{2}, nil, []uint32{1}, answer.Counts{Late: 2}, true},
		"stream closed after a part was passed on": {answer.DeliveryStreamed, []answer.Event{part(1, 1), answer.StreamClosed{ID: id(1)}}, nil, []codes.Code{codes.AnswerIncomplete}, []uint32{2}, answer.Counts{}, true},
		"abandoned request":                        {answer.DeliveryBuffered, []answer.Event{answer.Abandoned{}, end(1, 0)}, nil, nil, []uint32{1, 2}, answer.Counts{Late: 1}, true},
		"attempt opened after an accepted answer":  {answer.DeliveryBuffered, []answer.Event{end(1, 0), answer.AttemptOpened{ID: id(3)}}, []uint32{1}, nil, []uint32{2, 3}, answer.Counts{}, true},
		"same id opened twice":                     {answer.DeliveryBuffered, []answer.Event{answer.AttemptOpened{ID: id(1)}}, nil, nil, []uint32{1}, answer.Counts{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := answer.NewStage("r", "rerank", c.delivery)
			events := append([]answer.Event{answer.AttemptOpened{ID: id(1)}, answer.AttemptOpened{ID: id(2)}}, c.events...)
			var accepted, canceled []uint32
			var failed []codes.Code
			for _, e := range events {
				for _, a := range s.Step(e) {
					switch v := a.(type) {
					case answer.AcceptAnswer:
						accepted = append(accepted, v.ID.Attempt)
					case answer.FailAttempt:
						failed = append(failed, v.Result.Code)
					case answer.CancelAttempt:
						canceled = append(canceled, v.ID.Attempt)
					}
				}
			}
			is.Equal(accepted, c.accepted)
			is.Equal(failed, c.failed)
			is.Equal(canceled, c.canceled)
			is.Equal(s.Counts(), c.counts)
			is.Equal(s.Closed(), c.closed)
		})
	}
}
