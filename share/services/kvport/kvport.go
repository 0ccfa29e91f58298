// Package kvport adapts the client of the key-value service to the interfaces that the
// configuration and the claims use.
package kvport

import (
	"context"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"verbenaroad.example/share/decide/claim"
	"verbenaroad.example/share/modules/kvapi"
	"verbenaroad.example/share/services/store"
)

// ErrPort is the class of errors of this package.
var ErrPort = errs.Class("key-value service") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// claimPrefix precedes the keys that package claim forms. With claim.KeyPrefix it keeps the claims
// apart from the configuration's keys, which begin with store.DefaultPrefix.
const claimPrefix = "verbenaroad/"

// Port is the key-value service as the configuration and the claims use it.
type Port struct {
	client *kvapi.Client
}

// NewPort returns a Port that uses the client.
func NewPort(client *kvapi.Client) *Port {
	return &Port{client: client}
}

// Get returns the value of a key by a consistent read. For a missing key it returns a Value with
// index 0 and no error.
func (p *Port) Get(ctx context.Context, key string) (store.Value, error) {
	pair, err := p.client.Get(ctx, key)
	return toValue(pair, err)
}

// Watch returns the value of a key once its index differs from index, or after the wait.
func (p *Port) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (store.Value, error) {
	pair, err := p.client.Watch(ctx, key, index, wait)
	return toValue(pair, err)
}

func toValue(pair kvapi.Pair, err error) (store.Value, error) {
	if kvapi.IsErrKeyNotExist(err) {
		return store.Value{}, nil
	}
	if err != nil {
		return store.Value{}, ErrPort.Wrap(err)
	}
	return store.Value{Data: pair.Value, Index: pair.ModifyIndex}, nil
}

// CompareAndSwap writes data if the key still has the index, and reports whether it did. Index 0
// means that the key must not exist. After an error the outcome is unknown.
func (p *Port) CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error) {
	swapped, err := p.client.CompareAndSwap(ctx, key, data, index)
	return swapped, ErrPort.Wrap(err)
}

// GetClaim returns the record of a claim with its index, or nil if there is none.
func (p *Port) GetClaim(ctx context.Context, key string) (*claim.Stored, error) {
	value, err := p.Get(ctx, claimPrefix+key)
	if err != nil || value.Index == 0 {
		return nil, err
	}
	record, err := claim.Decode(value.Data)
	if err != nil {
		return nil, ErrPort.Wrap(err)
	}
	return &claim.Stored{Record: record, Index: value.Index}, nil
}

// SwapClaim writes the record if the key still has the index, and reports whether it did. After an
// error the outcome is unknown.
func (p *Port) SwapClaim(ctx context.Context, key string, record claim.Record, index uint64) (bool, error) {
	data, err := claim.Encode(record)
	if err != nil {
		return false, err
	}
	return p.CompareAndSwap(ctx, claimPrefix+key, data, index)
}

// FindClaimKeys returns the keys of all claims, without claimPrefix.
func (p *Port) FindClaimKeys(ctx context.Context) ([]string, error) {
	found, err := p.client.FindKeys(ctx, claimPrefix+claim.KeyPrefix)
	if err != nil {
		return nil, ErrPort.Wrap(err)
	}
	keys := make([]string, 0, len(found))
	for _, key := range found {
		keys = append(keys, strings.TrimPrefix(key, claimPrefix))
	}
	return keys, nil
}

// DeleteClaim deletes a claim if its key still has the index.
func (p *Port) DeleteClaim(ctx context.Context, key string, index uint64) error {
	_, err := p.client.DeleteIf(ctx, claimPrefix+key, index)
	return ErrPort.Wrap(err)
}
