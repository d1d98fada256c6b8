package kqreplica

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"kumquatglade/internal/state/kqjournal"

	"github.com/cockroachdb/errors"
)

// Member is one control host of the member list in force.
type Member struct {
	Host        string `json:"host"`
	Domain      string `json:"domain"`
	Peers       string `json:"peers"` // IP:port of its peers address
	Incarnation string `json:"incarnation"`
	Voter       bool   `json:"voter"`
}

// Want is one control host that the operators or the settings ask for.
type MemberSpec struct {
	Host   string `json:"host" validate:"required,word"`
	Domain string `json:"domain" validate:"required,word"`
	Peers  string `json:"peers" validate:"required,ipport"`
	Voter  bool   `json:"voter"` // false for a replica that only follows
}

func encodeMembers(list []Member) []byte {
	p, err := json.Marshal(list)
	if err != nil {
		panic(err) // plain fields always encode
	}
	return p
}

func decodeMembers(p []byte) []Member {
	var list []Member
	if len(p) == 0 {
		return nil
	}
	if err := json.Unmarshal(p, &list); err != nil {
		panic(errors.Wrap(err, "replica: members")) // checksummed before
	}
	return list
}

func findMember(list []Member, host string) (Member, bool) {
	i := slices.IndexFunc(list, func(m Member) bool { return m.Host == host })
	if i < 0 {
		return Member{}, false
	}
	return list[i], true
}

// with returns the list with m in the place of the same host, or added.
func withMember(list []Member, m Member) []Member {
	out := slices.Clone(list)
	i := slices.IndexFunc(out, func(o Member) bool { return o.Host == m.Host })
	if i < 0 {
		return append(out, m)
	}
	out[i] = m
	return out
}

func withoutMember(list []Member, host string) []Member {
	return slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.Host == host })
}

// EncodeRun writes a run as one short word.
func EncodeRun(r kqjournal.Run) string {
	return fmt.Sprintf("%s.%d.%s", r.Incarnation, r.Boot, r.Token)
}

// DecodeRun reads the word that EncodeRun wrote.
func DecodeRun(s string) (kqjournal.Run, error) {
	parts := strings.Split(s, ".")
	var r kqjournal.Run
	if len(parts) != 3 {
		return r, errors.Newf("run %q: want incarnation.boot.token", s)
	}
	if _, err := fmt.Sscan(parts[1], &r.Boot); err != nil {
		return r, errors.Newf("run %q: boot is no number", s)
	}
	r.Incarnation, r.Token = parts[0], parts[2]
	return r, nil
}
