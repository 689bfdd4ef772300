package forward

import "time"

// streamEnd is how a stream has ended.
type streamEnd int

const (
	streamWhole  streamEnd = iota // with its end
	streamEnded                   // with a framed end, which an order to stop the run may have caused
	streamClosed                  // with the end of its connection
	streamCut                     // by an error
)

// settle is called when the stream has ended. Unless it is whole, settle waits for the move in progress and returns the stopped run from
// which the request continues, if there is one.
func (s *runningStream) settle(end streamEnd) *stoppedRun {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	m := s.move
	if s.settled || m == nil {
		s.settled = true
		s.mu.Unlock()
		return nil
	}
	s.settled = true
	if end != streamWhole {
		m.end = end
		close(m.broken)
	}
	if end == streamWhole || !m.isStopping {
		m.stop()
	}
	s.mu.Unlock()
	<-m.done
	if end == streamWhole {
		m.result.discard()
		return nil
	}
	return m.result
}

// settleDoubted is settle for a stream that states its end, which an order to stop the run may have caused.
func (s *runningStream) settleDoubted(isFramed bool) *stoppedRun {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	m := s.move
	s.mu.Unlock()
	end := streamClosed
	if isFramed {
		end = streamEnded
	}
	if m != nil && (isFramed || s.r.q.Route.Repeatable()) { // the request may go on without the answer of the source, which comes after the copy
		t := time.AfterFunc(stopAnswerTimeout, m.stop)
		defer t.Stop()
	}
	return s.settle(end)
}

// isToldToStop reports whether an order to stop the run was sent.
func (s *runningStream) isToldToStop() bool {
	return s != nil && s.r.shared.stopOrders.Count(s.choice.Endpoint.ID) > s.ordersBefore
}

// refuseOrders is called when the stream has stated its end, or the answer is known to be no stream. It reports whether an order to stop
// the run was sent before. If none was, none is from then on.
func (s *runningStream) refuseOrders() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusesOrders = true
	return s.isToldToStop()
}

// mayOrder reports whether an order to stop the run may be sent: they are not refused, or one was sent before.
func (s *runningStream) mayOrder() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.refusesOrders || s.isToldToStop()
}
