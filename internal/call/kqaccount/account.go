package kqaccount

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	maxRows        = 4096 // per owner on one host
	overflowTarget = "(others)"
)

// Cause is the outcome that a row counts. The reason for refusing a call is a Cause, too.
type Cause string

// Causes besides the reasons for refusing a call.
const (
	Served           Cause = "served"
	Retried          Cause = "retried"
	Hedged           Cause = "hedged"
	DeadlineExceeded Cause = "late"      // the call was sent, but no response came before its deadline
	Truncated        Cause = "cut"       // the target's response ended early
	CallerGone       Cause = "left"      // the caller disconnected before it had the whole response
	Ejected          Cause = "ejected"   // calls of the owner avoid the target for a limited time
	Replayed         Cause = "repeated"  // a stored response was returned for a repeated idempotency key
	Conflict         Cause = "conflict"  // the idempotency key is claimed by another call, or belongs to a different request
	Malformed        Cause = "malformed" // the request is invalid
	Unauthorized     Cause = "denied"    // the request carries no valid key of the owner
	NoQuorum         Cause = "guards"    // too few guards of the idempotency key responded
)

// Key identifies one row of an owner's account.
type Key struct {
	Cause   Cause  `json:"cause"`
	Service string `json:"service"`
	Target  string `json:"target,omitempty"`
	Version uint64 `json:"version"` // contract version in force for the call
}

// Row is one counter of an owner's account.
type Row struct {
	Key
	Count uint64    `json:"count"`
	Last  time.Time `json:"last"`
}

// Accounts holds the accounts of all owners on one host. It is safe for
// concurrent use.
type Accounts struct {
	now    func() time.Time
	mu     sync.Mutex
	owners map[string]map[Key]*Row
}

// NewAccounts returns an empty Accounts that takes the time of each row from now.
func NewAccounts(now func() time.Time) *Accounts {
	return &Accounts{now: now, owners: map[string]map[Key]*Row{}}
}

// Add counts one occurrence. Once an owner has maxRows rows, new keys share one
// overflow target, so that many targets cannot exhaust memory.
func (a *Accounts) Add(owner string, k Key) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rows := a.owners[owner]
	if rows == nil {
		rows = map[Key]*Row{}
		a.owners[owner] = rows
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
	row.Last = a.now()
}

// Rows returns the owner's account, ordered as by SortRows.
func (a *Accounts) Rows(owner string) []Row {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := []Row{}
	for _, r := range a.owners[owner] {
		list = append(list, *r)
	}
	SortRows(list)
	return list
}

// Retain deletes the accounts of all owners for which keep returns false.
func (a *Accounts) Retain(keep func(owner string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for o := range a.owners {
		if !keep(o) {
			delete(a.owners, o)
		}
	}
}

// SortRows orders rows by service, cause, target and version.
func SortRows(list []Row) {
	slices.SortFunc(list, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Cause, b.Cause),
			cmp.Compare(a.Target, b.Target), cmp.Compare(a.Version, b.Version))
	})
}

// MergeRows adds up the counts of several hosts' rows and keeps the latest time.
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
