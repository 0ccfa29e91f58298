package cmds

import (
	"flag"

	"github.com/zeebo/errs"

	"verbenaroad.example/entry/services/policy"
)

// Admission is the table [admission].
type Admission struct {
	// Mode is "deadline", or "off" as a baseline for experiments.
	Mode string
}

// Register declares the keys of the section.
func (a *Admission) Register(fs *flag.FlagSet) {
	fs.StringVar(&a.Mode, "admission.mode", string(policy.AdmissionDeadline), "`mode`: deadline, or off as a baseline that admits every request")
}

// Check returns the faults of the section.
func (a *Admission) Check() []error {
	switch policy.Admission(a.Mode) {
	case policy.AdmissionDeadline, policy.AdmissionOff:
		return nil
	default:
		return []error{errs.New("admission.mode: %q is neither deadline nor off", a.Mode)}
	}
}
