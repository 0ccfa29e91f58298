// Package change implements the admin API's commands that change the configuration.
package change

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"verbenaroad.example/share/decide/head"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/services/admapi"
)

// defaultTimeout is the time limit of one change with all its reads and writes.
const defaultTimeout = 30 * time.Second

// Writer writes changes to the key-value service.
type Writer interface {
	Submit(ctx context.Context, s head.Submission) head.Answer
	// LoadHead returns nil if no configuration exists.
	LoadHead(ctx context.Context) (*config.Loaded, error)
}

// InForce returns the configuration in force in this process.
type InForce interface {
	// GetLoaded returns nil if the process has no configuration yet.
	GetLoaded() *config.Loaded
}

// Service checks changes and submits them.
type Service struct {
	writer  Writer
	inForce InForce
}

// NewService returns a service that submits changes to the writer. inForce returns the process's
// own configuration.
func NewService(writer Writer, inForce InForce) *Service {
	return &Service{writer: writer, inForce: inForce}
}

// Author identifies who makes a change, as authenticated by this process from the operator's token.
type Author struct {
	Operator string
	// TokenSHA256 is checked again against the configuration that the change is based on. It is
	// empty for the bootstrap token.
	TokenSHA256 string
	// Bootstrap, if set, permits the change only while no configuration exists.
	Bootstrap bool
}

// ApplyOptions describe one change.
type ApplyOptions struct {
	ChangeID string
	Author   Author
	// Base is the revision that the change is based on; 0 means the current one.
	Base   uint64
	DryRun bool
	// Text is the documents as TOML.
	Text []byte
}

// Apply parses, checks and submits documents.
func (s *Service) Apply(ctx context.Context, o ApplyOptions) head.Answer {
	patch, problems := config.ParsePatch(admapi.BodyName, o.Text)
	if len(problems) > 0 {
		return head.Answer{Verdict: head.VerdictInvalid, Problems: problems}
	}
	if patch.Count() == 0 && len(patch.Remove) == 0 {
		problems = []config.Problem{{File: admapi.BodyName, Detail: "holds no documents"}}
		return head.Answer{Verdict: head.VerdictInvalid, Problems: problems}
	}
	answer := s.submit(ctx, o.Author, head.Submission{
		ChangeID: o.ChangeID,
		Patch:    patch,
		Base:     o.Base,
		DryRun:   o.DryRun,
	})
	if len(answer.Problems) > 0 {
		answer.Problems = config.NewSourceMap(admapi.BodyName, o.Text).Locate(answer.Problems)
	}
	return answer
}

// submit submits a change, and continues if the operator's connection breaks: a change that stopped
// between the swap and the read of its result would have no verdict to return when the operator
// asks again.
func (s *Service) submit(ctx context.Context, author Author, submission head.Submission) head.Answer {
	submission.Operator = author.Operator
	submission.TokenSHA256 = author.TokenSHA256
	submission.Bootstrap = author.Bootstrap
	submission.InForce = s.inForce.GetLoaded()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), defaultTimeout)
	defer cancel()
	return s.writer.Submit(ctx, submission)
}

// SetLabels changes the labels of a team or a stage, based on the current documents in the
// key-value service.
func (s *Service) SetLabels(ctx context.Context, author Author, l admapi.LabelChange) head.Answer {
	loaded, err := s.writer.LoadHead(ctx)
	if inForce := s.inForce.GetLoaded(); err == nil && isOlder(loaded, inForce) {
		loaded = inForce // the key-value service lost data; the writer does the same
	}
	if err != nil || loaded == nil {
		return head.Answer{Verdict: head.VerdictUnavailable, Detail: "there is no configuration to be read"}
	}
	patch, problem := newLabelPatch(loaded.Snapshot, l)
	if problem != nil {
		return head.Answer{Verdict: head.VerdictInvalid, Problems: []config.Problem{*problem}}
	}
	base := l.Base
	if base == 0 {
		base = loaded.Version.Revision
	}
	return s.submit(ctx, author, head.Submission{
		ChangeID: l.ChangeID,
		Patch:    patch,
		Base:     base,
		Digest:   digestRequest(l),
	})
}

// isOlder reports whether l has a lower revision than other, or is nil while other is not.
func isOlder(l, other *config.Loaded) bool {
	if other == nil {
		return false
	}
	return l == nil || l.Version.Revision < other.Version.Revision
}

// digestRequest returns the hash of the requested change and not of the resulting documents: these
// differ if another change was accepted between two submissions of the same request.
func digestRequest(l admapi.LabelChange) config.Hash {
	l.Base = 0
	text, err := json.Marshal(l)
	if err != nil {
		return ""
	}
	return config.HashBytes(text)
}

func newLabelPatch(snapshot *config.Snapshot, l admapi.LabelChange) (config.Patch, *config.Problem) {
	var patch config.Patch
	missing := &config.Problem{Kind: l.Kind, Name: l.Name, Detail: "does not exist"}
	switch l.Kind {
	case config.KindTeam:
		found := snapshot.GetTeamByName(l.Name)
		if found == nil {
			return patch, missing
		}
		team := *found
		team.Labels = mergeLabels(team.Labels, l)
		patch.Teams = []config.Team{team}
		return patch, nil
	case config.KindPipeline:
		found := snapshot.GetPipelineByName(l.Name)
		if found == nil {
			return patch, missing
		}
		return newStagePatch(*found, l)
	default:
		return patch, &config.Problem{Kind: l.Kind, Name: l.Name, Field: "kind", Detail: "labels can be set on a team or on a pipeline's stage"}
	}
}

func newStagePatch(pipeline config.Pipeline, l admapi.LabelChange) (config.Patch, *config.Problem) {
	var patch config.Patch
	stages := append([]config.Stage(nil), pipeline.Stages...)
	for i := range stages {
		if stages[i].Name != l.Stage {
			continue
		}
		stages[i].Labels = mergeLabels(stages[i].Labels, l)
		pipeline.Stages = stages
		patch.Pipelines = []config.Pipeline{pipeline}
		return patch, nil
	}
	detail := fmt.Sprintf("has no stage %q", l.Stage)
	return patch, &config.Problem{Kind: l.Kind, Name: l.Name, Field: "stage", Detail: detail}
}

func mergeLabels(old config.Labels, l admapi.LabelChange) config.Labels {
	merged := config.Labels{}
	maps.Copy(merged, old)
	maps.Copy(merged, l.Set)
	for _, key := range l.Remove {
		delete(merged, key)
	}
	return merged
}
