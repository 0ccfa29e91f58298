// Package lookup implements the admin API's queries of the configuration.
package lookup

import (
	"context"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/services/admapi"
	"verbenaroad.example/share/services/store"
)

// Heads reads the configuration's head from the key-value service.
type Heads interface {
	ReadHead(ctx context.Context) (store.HeadAnswer, error)
}

// Snapshots returns the configuration in force in this process.
type Snapshots interface {
	// Snapshot returns nil if the process has no configuration yet.
	Snapshot() *config.Snapshot
}

// Service answers queries.
type Service struct {
	heads     Heads
	snapshots Snapshots
}

// NewService returns a service that reads the head from heads and the documents from snapshots.
func NewService(heads Heads, snapshots Snapshots) *Service {
	return &Service{heads: heads, snapshots: snapshots}
}

// FindDocuments returns the documents in force of the given kind and name. An empty kind selects
// all documents, an empty name all of the kind.
func (s *Service) FindDocuments(kind config.Kind, name string) (admapi.Config, error) {
	snapshot := s.snapshots.Snapshot()
	if snapshot == nil {
		return admapi.Config{}, codes.NewResult(codes.NotReady, "the instance has no configuration yet")
	}
	found := admapi.Config{Revision: snapshot.Revision, Documents: snapshot.Set}
	if kind == "" {
		return found, nil
	}
	found.Documents = snapshot.Set.Filter(kind, name)
	if name != "" && found.Documents.Count() == 0 {
		return found, codes.NewResult(codes.NotFound, "no "+string(kind)+" has this name")
	}
	return found, nil
}

// FindAcceptedChanges returns the head's history of accepted changes, newest first.
func (s *Service) FindAcceptedChanges(ctx context.Context) ([]config.AcceptedChange, error) {
	answer, err := s.heads.ReadHead(ctx)
	if err != nil {
		return nil, codes.NewResult(codes.StoreUnavailable, "the history could not be read")
	}
	return answer.Head.History, nil
}

// GetAcceptedChange returns the accepted change with this change id from the head's history in the
// key-value service.
func (s *Service) GetAcceptedChange(ctx context.Context, change string) (*config.AcceptedChange, error) {
	answer, err := s.heads.ReadHead(ctx)
	if err != nil {
		return nil, codes.NewResult(codes.ChangeUnknown, "the history could not be read; ask again with this change id")
	}
	accepted := answer.Head.FindChange(change)
	if accepted == nil {
		return nil, codes.NewResult(codes.NotFound, "no accepted change among those remembered has this id")
	}
	return accepted, nil
}
