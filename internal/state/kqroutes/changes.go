package kqroutes

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Changes describes what differs from an earlier document, one line for each service, limit,
// route and owner. It shows no keys and no digests.
func (d *Document) Changes(from *Document) []string {
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for _, c := range changedFields(&from.Limits, &d.Limits) {
		add("limits: %s", c)
	}
	if before, now := from.NeedsKey(), d.NeedsKey(); before != now {
		add("owners: requests need a key %t, was %t", now, before)
	}
	describe(add, from.Services, d.Services, func(s *Service) string { return "service " + s.Name }, func(a, b *Service) []string {
		return changedFields(a, b)
	})
	routeName := func(r *HostRoute) string { return fmt.Sprintf("host %s: prefix %s", r.Host, r.Route.Prefix) }
	describe(add, from.listRoutes(), d.listRoutes(), routeName, func(a, b *HostRoute) []string {
		return changedFields(&a.Route, &b.Route)
	})
	describe(add, from.Owners, d.Owners, func(o *Owner) string { return "owner " + o.Name }, changedOwner)
	return out
}

// listRoutes returns the routes that can match, by host and prefix.
func (d *Document) listRoutes() []HostRoute {
	var list []HostRoute
	for p, r := range d.routesByKey() {
		list = append(list, HostRoute{p.Host, r})
	}
	slices.SortFunc(list, func(a, b HostRoute) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Route.Prefix, b.Route.Prefix))
	})
	return list
}

// describe adds a line for each element that was added, changed or removed. Elements with
// the same name are compared by changed.
func describe[T any](add func(format string, args ...any), from, to []T, name func(*T) string, changed func(a, b *T) []string) {
	old := map[string]*T{}
	for i := range from {
		old[name(&from[i])] = &from[i]
	}
	for i := range to {
		n := name(&to[i])
		before, ok := old[n]
		delete(old, n)
		if !ok {
			add("%s: added", n)
			continue
		}
		if list := changed(before, &to[i]); len(list) > 0 {
			add("%s: %s", n, strings.Join(list, "; "))
		}
	}
	for i := range from {
		if n := name(&from[i]); old[n] != nil {
			add("%s: removed", n)
		}
	}
}

// changedFields describes the fields that differ, by their JSON names. Digests are left out.
func changedFields[T any](from, to *T) []string {
	var list []string
	a, b := reflect.ValueOf(from).Elem(), reflect.ValueOf(to).Elem()
	for i := range a.NumField() {
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		before, after := formatField(a.Field(i)), formatField(b.Field(i))
		if name != "keys" && before != after {
			list = append(list, fmt.Sprintf("%s %s, was %s", name, after, before))
		}
	}
	return list
}

// formatField formats a value; a nil pointer, an empty text and an empty list are "none".
func formatField(v reflect.Value) string {
	if v.Kind() == reflect.Pointer && !v.IsNil() {
		v = v.Elem()
	}
	switch {
	case v.Kind() == reflect.Pointer, (v.Kind() == reflect.Slice || v.Kind() == reflect.String) && v.Len() == 0:
		return "none"
	}
	return fmt.Sprintf("%v", v.Interface())
}

// changedOwner describes how the owner changed, without its keys.
func changedOwner(from, to *Owner) []string {
	list := changedFields(from, to)
	lacking := func(keys, other []KeyDigest) (n int) {
		for _, k := range keys {
			if !slices.Contains(other, k) {
				n++
			}
		}
		return n
	}
	if added, withdrawn := lacking(to.Keys, from.Keys), lacking(from.Keys, to.Keys); added+withdrawn > 0 {
		list = append(list, fmt.Sprintf("keys: %d added, %d withdrawn", added, withdrawn))
	}
	return list
}
