package change

import (
	"context"
	"fmt"

	"verbenaroad.example/share/decide/head"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/services/admapi"
)

// drainPrefix begins the names of the rules that drain an instance.
const drainPrefix = "drain-"

// DrainRule returns the rule that drains an instance. As a document of the configuration it takes
// effect everywhere with its revision, survives restarts of every process, appears in the history
// and is undone by removing it.
func DrainRule(instance string) config.Rule {
	return config.Rule{
		Name:   drainPrefix + instance,
		Server: "name=" + instance,
		Effect: config.EffectForbid,
	}
}

// IsDrained reports whether the snapshot contains the rule that drains the instance.
func IsDrained(snapshot *config.Snapshot, instance string) bool {
	rule := DrainRule(instance)
	for i := range snapshot.Set.Rules {
		if snapshot.Set.Rules[i] == rule {
			return true
		}
	}
	return false
}

// Instances returns the instances on the last instance list.
type Instances interface {
	FindInstances() []member.Instance
}

// DrainService drains instances by name.
type DrainService struct {
	changes   *Service
	instances Instances
}

// NewDrainService returns a service that submits drains as changes of the configuration.
func NewDrainService(changes *Service, instances Instances) *DrainService {
	return &DrainService{changes: changes, instances: instances}
}

// SetDrain drains an agent, or undoes its drain if c.Undo is set.
func (d *DrainService) SetDrain(ctx context.Context, author Author, instance string, c admapi.DrainChange) head.Answer {
	rule := DrainRule(instance)
	submission := head.Submission{ChangeID: c.ChangeID}
	if c.Undo {
		submission.Patch.Remove = []config.Reference{{Kind: config.KindRule, Name: rule.Name}}
		return d.changes.submit(ctx, author, submission)
	}
	if detail := d.refuse(instance, c.Force); detail != "" {
		problem := config.Problem{Kind: config.KindRule, Name: rule.Name, Field: "server", Detail: detail}
		return head.Answer{Verdict: head.VerdictInvalid, Problems: []config.Problem{problem}}
	}
	submission.Patch.Rules = []config.Rule{rule}
	return d.changes.submit(ctx, author, submission)
}

// refuse returns the reason to refuse a drain, or "". It guards against a mistyped name, whose
// drain would affect no instance and seem never to end, and, unless force is set, against a service
// without any agent left, whose callers would all get no-backend.
func (d *DrainService) refuse(instance string, force bool) string {
	all := d.instances.FindInstances()
	service, found := "", false
	for i := range all {
		if all[i].Name == instance && all[i].Role == member.RoleAgent {
			service, found = all[i].Service, true
		}
	}
	if !found {
		return fmt.Sprintf("no agent %q is known here", instance)
	}
	if !force && d.countOthers(all, service, instance) == 0 {
		return fmt.Sprintf("%s is the last agent of service %s that gets work; --force drains it all the same", instance, service)
	}
	return ""
}

// countOthers returns the number of other agents of the service that are neither leaving nor
// drained.
func (d *DrainService) countOthers(all []member.Instance, service, instance string) int {
	loaded := d.changes.inForce.GetLoaded()
	others := 0
	for i := range all {
		other := &all[i]
		if other.Role != member.RoleAgent || other.Service != service || other.Name == instance || other.Leaving {
			continue
		}
		if loaded != nil && IsDrained(loaded.Snapshot, other.Name) {
			continue
		}
		others++
	}
	return others
}
