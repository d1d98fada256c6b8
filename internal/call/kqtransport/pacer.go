package kqtransport

import (
	"context"
	"io"

	"golang.org/x/time/rate"
)

const (
	// pacedChunk is how many bytes of a long body are written at once. It takes 16 ms on the
	// slowest link of an entry host, a tenth of the time for which a load report holds.
	pacedChunk = 4 << 10

	// pacedShare is the share of the link that long bodies may take.
	pacedShare = 0.9

	// maxPacedRate is the link rate, in bytes a second, from which nothing is paced: a long
	// body then takes less time than a probe.
	maxPacedRate = 100e6 / 8
)

// Pacer spreads the bytes of long bodies over time, so that they do not wait in the queue
// of the host's link: a probe or a short request behind them would arrive late, when what
// was known of its target is out of date. A nil Pacer lets everything pass.
type Pacer struct {
	limiter *rate.Limiter
}

// NewPacer returns the Pacer of a host whose link carries so many bytes a second; nil if
// the rate is unknown (0) or high.
func NewPacer(bytesPerSecond float64) *Pacer {
	if bytesPerSecond <= 0 || bytesPerSecond >= maxPacedRate {
		return nil
	}
	return &Pacer{rate.NewLimiter(rate.Limit(pacedShare*bytesPerSecond), pacedChunk)}
}

// Writer returns a writer to w that waits until the link has room for each part. It
// returns the error of the context if that ends first.
func (p *Pacer) Writer(ctx context.Context, w io.Writer) io.Writer {
	if p == nil {
		return w
	}
	return pacedWriter{ctx, p, w}
}

type pacedWriter struct {
	ctx context.Context
	p   *Pacer
	w   io.Writer
}

func (w pacedWriter) Write(b []byte) (n int, err error) {
	for len(b) > 0 {
		part := b[:min(len(b), pacedChunk)]
		if err := w.p.limiter.WaitN(w.ctx, len(part)); err != nil {
			return n, err
		}
		k, err := w.w.Write(part)
		n += k
		if err != nil {
			return n, err
		}
		b = b[len(part):]
	}
	return n, nil
}
