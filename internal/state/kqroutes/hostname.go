package kqroutes

import "strings"

// hostKey returns the form in which names of hosts are compared, in documents and in requests.
// Upper and lower case ASCII letters are the same. All else counts: names with and without a
// port, or with a dot at the end, are different hosts.
func hostKey(name string) string {
	if strings.IndexFunc(name, isUpper) < 0 {
		return name
	}
	key := []byte(name)
	for i, c := range key {
		if isUpper(rune(c)) {
			key[i] = c + ('a' - 'A')
		}
	}
	return string(key)
}

func isUpper(r rune) bool { return 'A' <= r && r <= 'Z' }

// withoutPort returns a Host header without its port, and false if it has none.
func withoutPort(host string) (string, bool) {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || strings.Contains(host[i:], "]") { // a colon of an IPv6 address
		return host, false
	}
	return host[:i], true
}
