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
	m, found, isConclusive := r.findHere(ctx, key)
	if found {
		return Finding{Memo: m, Found: true, HeldBy: r.options.Peers.Self(), Conclusive: true}
	}
	holders := r.listHolders(key)
	// An ingress that cannot be reached may hold the memo.
	result := Finding{Conclusive: isConclusive && len(holders)+1 >= len(r.options.Views.View().Ingresses)}
	for _, count := range []int{firstRound, secondRound} {
		asked := holders[:min(len(holders), count)]
		holders = holders[len(asked):]
		f := r.ask(ctx, key, asked, false)
		if f.Found {
			return f
		}
		result.Answered = result.Answered || f.Answered
		result.Conclusive = result.Conclusive && f.Conclusive
	}
	return result
}

// FindNewest looks up a memo that is written again and again, at those that hold it if they could be reached
// when it was written. It waits for all their answers and returns the memo that expires last. It costs few
// questions even if all ingresses look up a memo at once.
func (r *Registry) FindNewest(ctx context.Context, key string) Finding {
	holders := r.listHolders(key)
	f := r.ask(ctx, key, holders[:min(len(holders), firstRound)], true)
	f.Conclusive = f.Conclusive && len(holders)+1 >= len(r.options.Views.View().Ingresses)
	return f
}

// answer is what one ingress says.
type answer struct {
	name     string
	recalled *wire.Recalled
	err      error
}

// ask asks several ingresses at once and returns with the first one that holds the memo, or when all
// have answered. With newest it always waits for all, and returns the memo that expires last.
func (r *Registry) ask(ctx context.Context, key string, names []string, newest bool) Finding {
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
		if a.recalled.GetMemo() == nil {
			continue
		}
		m := decode(time.Now(), a.recalled.GetMemo())
		if result.Found && !m.ExpiresAt.After(result.Memo.ExpiresAt) {
			continue
		}
		result.Memo, result.Found, result.HeldBy = m, true, a.name
		if !newest {
			result.Conclusive = true
			return result
		}
	}
	return result
}

func (r *Registry) runAsk(ctx context.Context, name, key string, answers chan<- answer) {
	recalled, err := r.options.Peers.Recall(ctx, name, &wire.Recall{Key: key})
	answers <- answer{name: name, recalled: recalled, err: err}
}
