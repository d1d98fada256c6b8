package kqaccount

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	maxRows        = 4096 // rows of one owner on one host
	overflowTarget = "(others)"
)

// Cause of a row, in one word.
type Cause string

// Causes besides the reasons for which a call is refused.
const (
	Served           Cause = "served"
	Retried          Cause = "retried"
	Hedged           Cause = "hedged"
	DeadlineExceeded Cause = "late"      // the deadline passed first
	Truncated        Cause = "cut"       // the answer broke off
	CallerGone       Cause = "left"      // the caller went away
	Ejected          Cause = "ejected"   // the target is avoided for a while
	Replayed         Cause = "repeated"  // a kept answer was given again
	Conflict         Cause = "conflict"  // the key is taken, or its answer is not kept
	Malformed        Cause = "malformed" // the request itself was wrong
	Unauthorized     Cause = "denied"    // no key of the owner
	NoQuorum         Cause = "guards"    // too few guards of the key answer
)

// Key names one row of an account.
type Key struct {
	Cause   Cause  `json:"cause"`
	Service string `json:"service"`
	Target  string `json:"target,omitempty"`
	Version uint64 `json:"version"` // contract version that applied
}

// Row is one line of an account.
type Row struct {
	Key
	Count uint64    `json:"count"`
	Last  time.Time `json:"last"`
}

// Book holds the accounts of all owners on one host.
type Accounts struct {
	now    func() time.Time
	mu     sync.Mutex
	owners map[string]map[Key]*Row
}

// NewBook returns an empty Book.
func NewAccounts(now func() time.Time) *Accounts {
	return &Accounts{now: now, owners: map[string]map[Key]*Row{}}
}

// Add counts one occurrence; past the bound of rows targets are not told apart.
func (b *Accounts) Add(owner string, k Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rows := b.owners[owner]
	if rows == nil {
		rows = map[Key]*Row{}
		b.owners[owner] = rows
	}
	row := rows[k]
	if row == nil && len(rows) >= maxRows {
		k.Target = overflowTarget
		row = rows[k]
	}
	if row == nil {
		row = &Row{Key: k}
		rows[k] = row
	}
	row.Count++
	row.Last = b.now()
}

// Rows returns the owner's account, in a fixed order.
func (b *Accounts) Rows(owner string) []Row {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := []Row{}
	for _, r := range b.owners[owner] {
		list = append(list, *r)
	}
	SortRows(list)
	return list
}

// Keep drops the accounts of owners that are not to be kept.
func (b *Accounts) Retain(kept func(owner string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for o := range b.owners {
		if !kept(o) {
			delete(b.owners, o)
		}
	}
}

// Sort orders rows by service, cause, target and version.
func SortRows(list []Row) {
	slices.SortFunc(list, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Cause, b.Cause),
			cmp.Compare(a.Target, b.Target), cmp.Compare(a.Version, b.Version))
	})
}

// Merge adds the rows of several hosts.
func MergeRows(lists ...[]Row) []Row {
	sum := map[Key]Row{}
	for _, list := range lists {
		for _, r := range list {
			s := sum[r.Key]
			s.Key = r.Key
			s.Count += r.Count
			if r.Last.After(s.Last) {
				s.Last = r.Last
			}
			sum[r.Key] = s
		}
	}
	out := make([]Row, 0, len(sum))
	for _, r := range sum {
		out = append(out, r)
	}
	SortRows(out)
	return out
}
