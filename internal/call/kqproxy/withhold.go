package kqproxy

import (
	"net/http"
	"slices"
	"strings"
)

// withholdKey removes from the header of a send whatever may be a caller's key, and an owner's
// name that this host did not set. Callers present keys also where none is needed any more: on a
// route that was opened, and after the last owner is gone. A key that this host does not know is
// a secret too, so that it is told by its scheme.
func (p *proxiedRequest) withholdKey(h http.Header) {
	e := p.engine
	if !e.cfg.Keyed && !p.routing.table.HasIssuedKeys() && !e.routing.Load().table.HasIssuedKeys() {
		return
	}
	if p.owner == nil {
		h.Del(e.cfg.HeaderNames.Owner)
	}
	values := h["Authorization"]
	if !slices.ContainsFunc(values, e.mayBeKey) {
		return
	}
	e.metrics.keyWithheld.Inc(1)
	if kept := slices.DeleteFunc(slices.Clone(values), e.mayBeKey); len(kept) > 0 {
		h["Authorization"] = kept
	} else {
		h.Del("Authorization")
	}
}

// mayBeKey reports whether a value of Authorization may contain a key: it, or one that an
// intermediary joined to another with a comma, has the scheme of keys.
func (e *Engine) mayBeKey(value string) bool {
	for part := range strings.SplitSeq(value, ",") {
		fields := strings.Fields(part)
		if len(fields) > 0 && strings.EqualFold(fields[0], e.cfg.HeaderNames.KeyScheme) {
			return true
		}
	}
	return false
}
