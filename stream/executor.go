package stream

import (
	"context"
	"errors"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/recovery"
)

// lineBufferSize is the number of lines that may wait between the connection and the run.
const lineBufferSize = 32

// lineStream is an open stream of lines from an engine or a peer.
type lineStream interface {
	Next() (engine.Line, error)
	Close() error
}

// executor runs attempts: an engine, or an entry box of another data centre.
type executor interface {
	Generate(c context.Context, q engine.Request) (lineStream, error)
	Resume(c context.Context, a engine.Attempt) (lineStream, error)
	Cancel(c context.Context, a engine.Attempt) (engine.Cancelled, error)
}

// engineExecutor runs attempts at one engine.
type engineExecutor struct {
	client  *engine.Client
	address string
}

func (e engineExecutor) Generate(c context.Context, q engine.Request) (lineStream, error) {
	return asLineStream(e.client.Generate(c, e.address, q))
}

func (e engineExecutor) Resume(c context.Context, a engine.Attempt) (lineStream, error) {
	return asLineStream(e.client.Resume(c, e.address, a))
}

func (e engineExecutor) Cancel(c context.Context, a engine.Attempt) (engine.Cancelled, error) {
	return e.client.Cancel(c, e.address, a)
}

// asLineStream returns s as an interface value. On an error the value is nil, and not a non-nil
// interface that holds a nil *engine.Stream.
func asLineStream(s *engine.Stream, err error) (lineStream, error) {
	if err != nil {
		return nil, err
	}
	return s, nil
}

// classifyOpenError returns the kind of interruption for an error of opening an attempt's stream.
func classifyOpenError(err error, resumed bool) recovery.Interruption {
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
		return recovery.Disconnected
	}
}

// sendLines sends the lines of l until the stream or the context ends, and closes l. It reports whether there were any.
func sendLines(c context.Context, l lineStream, to chan<- engine.Line) (sent bool) {
	defer func() { _ = l.Close() }()
	for {
		n, err := l.Next()
		if err != nil {
			return sent
		}
		select {
		case to <- n:
			sent = true
		case <-c.Done():
			return sent
		}
	}
}
