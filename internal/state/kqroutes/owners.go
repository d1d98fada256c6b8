package kqroutes

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

// Owner is a customer whose callers present one of its keys. Its limits apply to all hosts
// together.
type Owner struct {
	Name     string      `json:"name"`
	Keys     []KeyDigest `json:"keys,omitempty"`
	Priority *int        `json:"priority,omitempty"` // takes precedence over that of a route; nil: the route's
	Rate     float64     `json:"rate,omitempty"`     // requests per second, 0: no limit
	Burst    float64     `json:"burst,omitempty"`    // requests on top of the rate
	Regions  []string    `json:"regions,omitempty"`  // of the targets that requests may be sent to, empty: all
}

// Limited reports whether the owner has a limit.
func (o *Owner) Limited() bool { return o.Rate > 0 }

// digestBytes is the length of a KeyDigest in bytes: long enough that no two keys collide.
const digestBytes = 16

// KeyDigest is the beginning of the SHA-256 hash of a key in hex. Documents hold no keys, so
// that these cannot appear in a log or on another host.
type KeyDigest string

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:digestBytes]))
}

// MaxKey is the maximum length of a key in bytes.
const MaxKey = 4 << 10

// DigestKeys returns the digests of the keys without repetitions, or an error if a key is
// empty or too long. The error does not contain the key.
func DigestKeys(keys []string) ([]KeyDigest, error) {
	var list []KeyDigest
	for i, k := range keys {
		if k == "" || len(k) > MaxKey {
			return nil, errors.Newf("key %d has %d bytes: want 1 to %d", i+1, len(k), MaxKey)
		}
		if d := DigestKey(k); !slices.Contains(list, d) {
			list = append(list, d)
		}
	}
	return list, nil
}

// maxOwnerName is the maximum length of an owner's name in bytes; it is a header field of
// each of the owner's requests.
const maxOwnerName = 256

func validateOwners(list []Owner) error {
	names, keys := make(map[string]bool, len(list)), map[KeyDigest]string{}
	for _, o := range list {
		switch {
		case !isHeaderValue(o.Name):
			return errors.Newf("routes: owner of %d bytes: want a name of 1 to %d printable ASCII characters", len(o.Name), maxOwnerName)
		case names[o.Name]:
			return errors.Newf("routes: owner %s: the name appears twice", o.Name)
		case !(o.Rate >= 0 && o.Burst >= 0) || math.IsInf(o.Rate+o.Burst, 0): // also refuses NaN
			return errors.Newf("routes: owner %s: rate %v, burst %v: want 0 or more", o.Name, o.Rate, o.Burst)
		}
		names[o.Name] = true
		for _, k := range o.Keys {
			if other, ok := keys[k]; ok {
				return errors.Newf("routes: owners %s and %s have the same key", other, o.Name)
			}
			keys[k] = o.Name
		}
	}
	return nil
}

func isHeaderValue(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= maxOwnerName
}

func equalOwners(a, b *Owner) bool {
	equalPriority := (a.Priority == nil) == (b.Priority == nil) && (a.Priority == nil || *a.Priority == *b.Priority)
	return a.Name == b.Name && equalPriority && a.Rate == b.Rate && a.Burst == b.Burst &&
		slices.Equal(a.Keys, b.Keys) && slices.Equal(a.Regions, b.Regions)
}
