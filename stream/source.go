package stream

import (
	"context"
	"errors"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/recovery"
)

// lineBuffer is how many lines may wait between the connection and the run.
const lineBuffer = 32

// lines is an open stream of lines, from an engine or a peer.
type lines interface {
	Next() (engine.Line, error)
	Close() error
}

// place is where an attempt runs: an engine, or the entry boxes of another data
// centre.
type place interface {
	Generate(c context.Context, q engine.Request) (lines, error)
	Resume(c context.Context, a engine.Attempt) (lines, error)
	Cancel(c context.Context, a engine.Attempt) (engine.Cancelled, error)
}

// engineAt is the place of one engine.
type engineAt struct {
	client  *engine.Client
	address string
}

func (e engineAt) Generate(c context.Context, q engine.Request) (lines, error) {
	return opened(e.client.Generate(c, e.address, q))
}

func (e engineAt) Resume(c context.Context, a engine.Attempt) (lines, error) {
	return opened(e.client.Resume(c, e.address, a))
}

func (e engineAt) Cancel(c context.Context, a engine.Attempt) (engine.Cancelled, error) {
	return e.client.Cancel(c, e.address, a)
}

// opened keeps a nil *engine.Stream from becoming a non-nil lines.
func opened(s *engine.Stream, err error) (lines, error) {
	if err != nil {
		return nil, err
	}
	return s, nil
}

// breakOf says how an attempt broke from the error of opening its stream.
func breakOf(err error, resumed bool) recovery.Break {
	switch {
	case errors.Is(err, engine.ErrNotRun) && resumed:
		return recovery.NeverSeen
	case errors.Is(err, engine.ErrNotRun):
		return recovery.Refused
	case errors.Is(err, engine.ErrRestarted):
		return recovery.Restarted
	case errors.Is(err, engine.ErrUnreachable) && !resumed:
		return recovery.Unreachable
	default:
		return recovery.Cut
	}
}

// pump reads lines into a channel until the stream or the context ends.
func pump(c context.Context, l lines) <-chan engine.Line {
	ch := make(chan engine.Line, lineBuffer)
	go func() {
		defer close(ch)
		defer func() { _ = l.Close() }()
		for {
			n, err := l.Next()
			if err != nil {
				return
			}
			select {
			case ch <- n:
			case <-c.Done():
				return
			}
		}
	}()
	return ch
}
