package kqroutes

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxHistory is the number of accepted versions that the history keeps.
const MaxHistory = 256

// Proposal is a document together with the bytes that the operator sent. A read of the
// routes returns these bytes.
type Proposal struct {
	Document Document `json:"document"`
	Source   []byte   `json:"source"`
}

// AcceptedVersion is an entry of the history: a version that was accepted.
type AcceptedVersion struct {
	Version  uint64    `json:"version"`
	Hash     string    `json:"hash"` // of the bytes that the operator sent
	Time     time.Time `json:"time"`
	Revision uint64    `json:"revision"` // of the replicated state
}

// Registry holds the active document and the history of accepted versions.
type Registry struct {
	Current *Proposal         `json:"current,omitempty"`
	History []AcceptedVersion `json:"history,omitempty"`
}

// Accept makes the proposal the active document if its version is higher than the
// active one; versions may be skipped. Otherwise it changes nothing and returns false.
func (b *Registry) Accept(p *Proposal, at time.Time, revision uint64) bool {
	if b.Current != nil && p.Document.Version <= b.Current.Document.Version {
		return false
	}
	next := *p // the proposal may still be sent to other hosts
	next.Document.KeysIssued = p.Document.NeedsKey() || b.Current != nil && b.Current.Document.issuedKeys()
	b.Current = &next
	b.History = append(b.History, AcceptedVersion{
		Version: p.Document.Version, Hash: Hash(p.Source), Time: at, Revision: revision,
	})
	if extra := len(b.History) - MaxHistory; extra > 0 {
		b.History = slices.Delete(b.History, 0, extra)
	}
	return true
}

// Hash returns the 64-bit xxHash of a document's bytes as 16 hex digits.
func Hash(source []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(source))
}
