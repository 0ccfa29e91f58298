// Package lookup holds the admin API's queries of the configuration.
package lookup

import (
	"context"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/services/admapi"
	"verbenaroad.example/share/services/store"
)

// Heads reads the head as the key-value service holds it.
type Heads interface {
	ReadHead(ctx context.Context) (store.HeadAnswer, error)
}

// Snapshots gives the configuration in force in this process.
type Snapshots interface {
	// Snapshot returns nil while there is none.
	Snapshot() *config.Snapshot
}

// Service answers queries.
type Service struct {
	heads     Heads
	snapshots Snapshots
}

// NewService returns a service over a reader and the process's own snapshot.
func NewService(heads Heads, snapshots Snapshots) *Service {
	return &Service{heads: heads, snapshots: snapshots}
}

// FindDocuments returns the documents in force of a kind and name; an empty one stands for all.
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

// FindMoves returns the last moves of the head, newest first.
func (s *Service) FindMoves(ctx context.Context) ([]config.AcceptedChange, error) {
	answer, err := s.heads.ReadHead(ctx)
	if err != nil {
		return nil, codes.NewResult(codes.StoreUnavailable, "the history could not be read")
	}
	return answer.Head.History, nil
}

// GetMoveByChange returns the move of a change, as the key-value service itself holds it.
func (s *Service) GetMoveByChange(ctx context.Context, change string) (*config.AcceptedChange, error) {
	answer, err := s.heads.ReadHead(ctx)
	if err != nil {
		return nil, codes.NewResult(codes.ChangeUnknown, "the history could not be read; ask again with this change id")
	}
	move := answer.Head.FindChange(change)
	if move == nil {
		return nil, codes.NewResult(codes.NotFound, "no accepted change among those remembered has this id")
	}
	return move, nil
}
