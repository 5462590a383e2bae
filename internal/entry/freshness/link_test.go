package freshness_test

import (
	"context"
	"time"
)

const segmentBytes = 4096

// bitrate is a rate in bits a second; zero stands for no limit.
type bitrate float64

// link passes bytes on at its rate. Calls that use it at the same time get equal shares.
type link struct {
	turn chan struct{}
	rate bitrate
}

func newLink(rate bitrate) *link { return &link{turn: make(chan struct{}, 1), rate: rate} }

// pass waits until n bytes have passed or ctx ends.
func (l *link) pass(ctx context.Context, n int) error {
	if l.rate == 0 {
		return ctx.Err()
	}

	for ; n > 0; n -= segmentBytes {
		select {
		case l.turn <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}

		time.Sleep(time.Duration(float64(min(n, segmentBytes)) * 8 / float64(l.rate) * float64(time.Second)))
		<-l.turn
	}

	return ctx.Err()
}

// transfer waits until n bytes have passed both from and to, or ctx ends.
func transfer(ctx context.Context, n int, from, to *link) error {
	sent := make(chan error, 1)

	go func() { sent <- from.pass(ctx, n) }()

	if err := to.pass(ctx, n); err != nil {
		<-sent

		return err
	}

	return <-sent
}
