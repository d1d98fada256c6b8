package kqroutes

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// KeptVersions is how many accepted versions the history keeps.
const MaxHistory = 256

// Proposal is a document with the bytes that the operator sent: these are what
// a read returns.
type Proposal struct {
	Document Document `json:"document"`
	Source   []byte   `json:"source"`
}

// Accepted is one version that was in force.
type AcceptedVersion struct {
	Version  uint64    `json:"version"`
	Hash     string    `json:"hash"` // of the bytes that the operator sent
	Time     time.Time `json:"time"`
	Revision uint64    `json:"revision"` // of the whole state
}

// Book holds the document in force and the history of versions.
type Registry struct {
	Current *Proposal         `json:"current,omitempty"`
	History []AcceptedVersion `json:"history,omitempty"`
}

// Version returns the version in force, 0 before the first.
func (b *Registry) Version() uint64 {
	if b.Current == nil {
		return 0
	}
	return b.Current.Document.Version
}

// Accept puts the proposal in force if its version is higher than the one in
// force, whatever the step; otherwise it changes nothing and returns false.
func (b *Registry) Accept(p *Proposal, at time.Time, revision uint64) bool {
	if b.Current != nil && p.Document.Version <= b.Version() {
		return false
	}
	b.Current = p
	b.History = append(b.History, AcceptedVersion{
		Version: p.Document.Version, Hash: Hash(p.Source), Time: at, Revision: revision,
	})
	if extra := len(b.History) - MaxHistory; extra > 0 {
		b.History = slices.Delete(b.History, 0, extra)
	}
	return true
}

// Hash names the bytes of a document.
func Hash(source []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(source))
}

func sortByPrefix(list []Route) {
	slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
}
