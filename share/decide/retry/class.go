package retry

import "verbenaroad.example/share/modules/codes"

// class groups results by what may follow them.
type class string

const (
	// classFinal is followed by nothing.
	classFinal class = "final"
	// classMoved did not run for a reason that another agent does not share.
	classMoved class = "moved"
	// classLoaded did not run because of load.
	classLoaded class = "loaded"
	// classRan ran or may have run, without an answer.
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
		return classMoved
	case codes.Overloaded, codes.DeadlineUnmeetable, codes.Preempted, codes.BackendFailed, codes.BackendLost:
		return classLoaded
	default:
		return classFinal
	}
}
