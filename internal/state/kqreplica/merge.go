package kqreplica

// Merge returns the effects of several events with a single SaveMeta: the newest one,
// at the position of the first. Messages to several peers then wait for one disk sync
// instead of one each. Saving metadata earlier than necessary is safe: after a crash
// the host merely knows it sooner.
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
