package recall

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/memo"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/wire"
)

const (
	// askTimeout limits one round of questions: a link to another region may have to be opened first.
	askTimeout = 400 * time.Millisecond
	// firstRound and secondRound are how many ingresses are asked at once. The second round finds memos
	// that were written when other ingresses could be reached.
	firstRound  = copies + 1
	secondRound = 8
)

// Finding is the result of a lookup.
type Finding struct {
	Memo  memo.Memo
	Found bool
	// HeldBy is the ingress that held the memo.
	HeldBy string
	// Answered is set if another ingress has answered, Conclusive if all that may hold the memo have.
	Answered   bool
	Conclusive bool
}

// Find looks up a memo here and at the ingresses that may hold it.
func (r *Registry) Find(ctx context.Context, key string) Finding {
	if m, found := r.findLocal(key); found {
		return Finding{Memo: m, Found: true, HeldBy: r.options.Peers.Self(), Conclusive: true}
	}
	holders := r.listHolders(key)
	// An ingress that cannot be reached may hold the memo.
	result := Finding{Conclusive: len(holders)+1 >= len(r.options.Views.View().Ingresses)}
	for _, count := range []int{firstRound, secondRound} {
		asked := holders[:min(len(holders), count)]
		holders = holders[len(asked):]
		f := r.ask(ctx, key, asked)
		if f.Found {
			return f
		}
		result.Answered = result.Answered || f.Answered
		result.Conclusive = result.Conclusive && f.Conclusive
	}
	return result
}

// answer is what one ingress says.
type answer struct {
	name     string
	recalled *wire.Recalled
	err      error
}

// ask asks several ingresses at once and returns with the first one that holds the memo, or when all
// have answered.
func (r *Registry) ask(ctx context.Context, key string, names []string) Finding {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make(chan answer, len(names))
	for _, name := range names {
		go r.runAsk(ctx, name, key, answers)
	}
	result := Finding{Conclusive: true}
	for range names {
		a := <-answers
		if a.err != nil {
			r.options.Log.Info("recall-failed", zap.String("ingress", a.name), logs.Err(a.err))
			result.Conclusive = false
			continue
		}
		result.Answered = true
		if m := a.recalled.GetMemo(); m != nil {
			return Finding{Memo: decode(time.Now(), m), Found: true, HeldBy: a.name, Answered: true, Conclusive: true}
		}
	}
	return result
}

func (r *Registry) runAsk(ctx context.Context, name, key string, answers chan<- answer) {
	recalled, err := r.options.Peers.Recall(ctx, name, &wire.Recall{Key: key})
	answers <- answer{name: name, recalled: recalled, err: err}
}
