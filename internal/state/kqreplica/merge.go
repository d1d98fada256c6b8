package kqreplica

// Merge returns the effects of several events with one SaveMeta, the newest, in
// the place of the first: the messages of several peers then wait for one sync. What
// is saved earlier than it came about is only known earlier after a crash.
func Merge(list []Effect) []Effect {
	out := make([]Effect, 0, len(list))
	at := -1
	for _, e := range list {
		meta, ok := e.(SaveMeta)
		switch {
		case !ok:
			out = append(out, e)
		case at < 0:
			at = len(out)
			out = append(out, meta)
		default:
			out[at] = meta
		}
	}
	return out
}
