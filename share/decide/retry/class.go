package retry

import "verbenaroad.example/share/modules/codes"

// class groups results by what may follow the attempt.
type class string

const (
	// classFinal is not followed by another attempt.
	classFinal class = "final"
	// classRefused did not run for a reason that applies only to the agent that refused it. A resend
	// is not charged to the budget.
	classRefused class = "moved"
	// classLoaded did not run because of overload, preemption or a failing backend server. A resend is
	// charged to the budget.
	classLoaded class = "loaded"
	// classRan ran or may have run, but produced no answer. A retry is charged to the budget.
	classRan class = "ran"
)

func classify(a Attempt) class {
	if a.Outcome == codes.OutcomeNotRun {
		return classifyNotRun(a.Code)
	}
	switch a.Code {
	case codes.BackendFailed, codes.BackendLost, codes.AnswerIncomplete, codes.OutcomeNotKnown, codes.Internal, codes.Preempted:
		return classRan
	default:
		return classFinal
	}
}

func classifyNotRun(c codes.Code) class {
	switch c {
	case codes.Draining, codes.NewerRevision, codes.OtherIncarnation, codes.NotReady, codes.StaleConfig:
		return classRefused
	case codes.Overloaded, codes.DeadlineUnmeetable, codes.Preempted, codes.BackendFailed, codes.BackendLost:
		return classLoaded
	default:
		return classFinal
	}
}
