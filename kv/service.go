package kv

import (
	"context"

	"birchlink.dev/birchlink/kernel"
)

// Name is the name of the service.
const Name = "kv"

// Service makes the client known by name.
type Service struct {
	*Client
}

// Name returns the service's name.
func (s *Service) Name() string { return Name }

// Start does nothing: the client connects with its first call.
func (s *Service) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop ends idle connections.
func (s *Service) Stop(context.Context) error {
	s.http.HTTP.CloseIdleConnections()
	return nil
}
