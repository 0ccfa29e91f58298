package config

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// defaultClaimRetention lets a caller that retries a day later receive the stored answer.
const defaultClaimRetention = 24 * time.Hour

// Snapshot is one revision of the configuration, indexed for lookups on the request path. It is
// immutable.
type Snapshot struct {
	// Revision is 0 if there is no configuration yet, and for one that is planned and not in force.
	Revision uint64
	// Set holds all documents, sorted by name within their kind.
	Set Set

	teams     map[string]*Team
	tokens    map[string]*Team
	pipelines map[string]*Pipeline
	services  map[string]*Service
	pools     map[string]*Pool
	operators map[string]*Operator
}

// NewSnapshot returns a snapshot of a set. It keeps references into the set, which must not be
// changed afterwards.
func NewSnapshot(revision uint64, set Set) *Snapshot {
	s := &Snapshot{
		Revision:  revision,
		Set:       set,
		teams:     make(map[string]*Team, len(set.Teams)),
		tokens:    make(map[string]*Team, len(set.Teams)),
		pipelines: make(map[string]*Pipeline, len(set.Pipelines)),
		services:  make(map[string]*Service, len(set.Services)),
		pools:     make(map[string]*Pool, len(set.Pools)),
		operators: make(map[string]*Operator, len(set.Operators)),
	}
	s.indexTeams(set.Teams)
	for i := range set.Pipelines {
		s.pipelines[set.Pipelines[i].Name] = &set.Pipelines[i]
	}
	for i := range set.Services {
		s.services[set.Services[i].Name] = &set.Services[i]
	}
	for i := range set.Pools {
		s.pools[set.Pools[i].Name] = &set.Pools[i]
	}
	for i := range set.Operators {
		s.operators[set.Operators[i].TokenSHA256] = &set.Operators[i]
	}
	return s
}

func (s *Snapshot) indexTeams(teams []Team) {
	for i := range teams {
		t := &teams[i]
		s.teams[t.Name] = t
		for _, digest := range t.TokenSHA256 {
			s.tokens[digest] = t
		}
	}
}

func (s *Snapshot) unindexTeams(teams []Team) {
	for i := range teams {
		delete(s.teams, teams[i].Name)
		for _, digest := range teams[i].TokenSHA256 {
			delete(s.tokens, digest)
		}
	}
}

// DigestToken returns the digest under which the configuration stores a token: its SHA-256 in hex.
func DigestToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// GetTeamByName returns the team, or nil.
func (s *Snapshot) GetTeamByName(name string) *Team { return s.teams[name] }

// GetTeamByToken returns the team that the token belongs to, or nil.
func (s *Snapshot) GetTeamByToken(token string) *Team { return s.tokens[DigestToken(token)] }

// GetPipelineByName returns the pipeline, or nil.
func (s *Snapshot) GetPipelineByName(name string) *Pipeline { return s.pipelines[name] }

// GetServiceByName returns the service, or nil.
func (s *Snapshot) GetServiceByName(name string) *Service { return s.services[name] }

// GetPoolByName returns the pool, or nil.
func (s *Snapshot) GetPoolByName(name string) *Pool { return s.pools[name] }

// GetOperatorByToken returns the operator that the token belongs to, or nil.
func (s *Snapshot) GetOperatorByToken(token string) *Operator { return s.operators[DigestToken(token)] }

// GetLimits returns the deployment's limits, or the defaults if the configuration has none.
func (s *Snapshot) GetLimits() Limits {
	if len(s.Set.Limits) > 0 {
		return s.Set.Limits[0]
	}
	return Limits{Name: "deployment", ClaimRetention: Duration(defaultClaimRetention)}
}
