package kqsoak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"kumquatglade/internal/call/kqproxy"
)

// Way is a way in which a caller sends requests and reads the responses, as printed.
type Way string

// Ways of sending and reading.
const (
	WayClient    Way = "http.Client, any host" // not of a Stayer
	WayGet       Way = "GET"
	WayChunked   Way = "POST in chunks"
	WayHead      Way = "head in pieces"
	WayLength    Way = "POST with a length, in pieces"
	WaySlow      Way = "POST in chunks, in pieces"
	WayUpload    Way = "long body in pieces"
	WayExpect    Way = "POST that waits for 100"
	WayLarge     Way = "large answer"
	WayReader    Way = "large answer read slowly"
	WayAtOnce    Way = "POST behind a GET, one write"
	WayBehind    Way = "POST behind a GET, two writes"
	WayThree     Way = "three behind each other"
	WayHalfClose Way = "sending side closed"
)

// Ways returns the ways of stayers that must not lose a request: the plain ones, those that
// send requests behind each other, and the one that closes its sending side.
func Ways(behind, halfClose bool) []Way {
	list := []Way{WayGet, WayChunked, WayHead, WayLength, WaySlow, WayUpload, WayExpect, WayLarge, WayReader}
	if behind {
		list = append(list, WayAtOnce, WayBehind, WayThree)
	}
	if halfClose {
		list = append(list, WayHalfClose)
	}
	return list
}

const (
	maxPiecePause = 60 * time.Millisecond // between two pieces of a request
	maxSlowPause  = 250 * time.Millisecond
	pieceCount    = 5
	chunk         = "7\r\nfiling \r\n"
	lastChunk     = "0\r\n\r\n"
	shortBody     = 3 << 10    // bytes
	longBody      = 1200 << 10 // bytes, more than a host buffers before it sends a request on
	largeMark     = "-large"   // at the end of the ID of a request that gets a large answer
	slowMark      = "-slow"    // at the end of the ID of a request whose work lasts longer than lossSlack
)

// message is one request of a stayer.
type message struct {
	id   string
	post bool
	long bool // a POST with a long body, on the route of uploads
}

// piece is what a stayer writes at once.
type piece struct {
	data   string
	pause  time.Duration // before it
	starts int           // how many requests begin with it
	ends   int           // how many are whole with it
	awaits bool          // written once the caller was told to go on, or got no word for a while
}

// messages returns the requests that one exchange consists of; name is unique.
func (w Way) messages(rng *rand.Rand, name string) []message {
	switch w {
	case WayGet, WayHead:
		return []message{{id: name}}
	case WayLarge, WayReader:
		return []message{{id: name + largeMark, post: rng.IntN(2) == 0}}
	case WayHalfClose:
		return []message{{id: name, post: rng.IntN(2) == 0}}
	case WayAtOnce, WayBehind:
		return []message{{id: name + "a" + slowMark}, {id: name + "b", post: true}}
	case WayThree:
		return []message{{id: name + "a" + slowMark, post: rng.IntN(2) == 0}, {id: name + "b", post: rng.IntN(2) == 0}, {id: name + "c", post: true}}
	default:
		return []message{{id: name, post: true, long: w == WayUpload}}
	}
}

// pieces returns what a stayer writes for the messages, one after the other.
func (w Way) pieces(rng *rand.Rand, list []message) []piece {
	first := list[0]
	switch w {
	case WayHead:
		return split(rng, first.whole(), maxPiecePause)
	case WayLength:
		return split(rng, first.head("Content-Length: %d", shortBody)+strings.Repeat("7", shortBody), maxPiecePause)
	case WaySlow:
		return split(rng, first.head("Transfer-Encoding: chunked")+strings.Repeat(chunk, pieceCount)+lastChunk, maxSlowPause)
	case WayUpload:
		return split(rng, first.head("Content-Length: %d", longBody)+strings.Repeat("7", longBody), maxPiecePause)
	case WayExpect:
		head := first.head("Transfer-Encoding: chunked\r\nExpect: 100-continue")
		return []piece{{data: head, starts: 1}, {data: chunk + lastChunk, ends: 1, awaits: true}}
	case WayBehind:
		var out []piece
		for _, m := range list {
			out = append(out, piece{data: m.whole(), pause: draw(rng, maxPiecePause), starts: 1, ends: 1})
		}
		return out
	case WayChunked:
		return []piece{
			{data: first.head("Transfer-Encoding: chunked"), starts: 1},
			{data: chunk, pause: draw(rng, maxStayPause)},
			{data: chunk, pause: draw(rng, maxStayPause)},
			{data: lastChunk, ends: 1},
		}
	default:
		var all strings.Builder
		for _, m := range list {
			all.WriteString(m.whole())
		}
		return []piece{{data: all.String(), starts: len(list), ends: len(list)}}
	}
}

// draw returns a random time below limit.
func draw(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}

// split cuts one request into pieces at random places.
func split(rng *rand.Rand, all string, maxPause time.Duration) []piece {
	var list []piece
	for i := range pieceCount {
		n := len(all)
		if i < pieceCount-1 {
			n = rng.IntN(max(2*n/pieceCount, 1))
		}
		list = append(list, piece{data: all[:n], pause: draw(rng, maxPause)})
		all = all[n:]
	}
	list[0].pause, list[0].starts, list[pieceCount-1].ends = 0, 1, 1
	return list
}

// head returns the head of the request with further lines.
func (m message) head(lines string, args ...any) string {
	names := kqproxy.DefaultHeaderNames
	line := fmt.Sprintf("GET %s%s?p=/a/b&n=1", safePrefix, m.id)
	switch {
	case m.long:
		line = fmt.Sprintf("POST %s%s", uploadPrefix, m.id)
	case m.post:
		line = fmt.Sprintf("POST %s%s/?q=2", unsafePrefix, m.id)
	}
	head := fmt.Sprintf("%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", line, siteHost, names.RequestID, m.id, names.Deadline, callTimeout.Milliseconds())
	if lines != "" {
		head += fmt.Sprintf(lines, args...) + "\r\n"
	}
	return head + "\r\n"
}

// whole returns a GET, or a POST whose body is in chunks.
func (m message) whole() string {
	if !m.post {
		return m.head("")
	}
	return m.head("Transfer-Encoding: chunked") + chunk + lastChunk
}
