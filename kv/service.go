package kv

import (
	"context"

	"birchlink.dev/birchlink/kernel"
)

// Name is the name under which the kernel registers the service.
const Name = "kv"

// Service is the kernel service of a client.
type Service struct {
	*Client
}

// Name returns the service's name.
func (s *Service) Name() string { return Name }

// Start does nothing: the client connects on its first call.
func (s *Service) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop closes idle connections.
func (s *Service) Stop(context.Context) error {
	s.http.HTTP.CloseIdleConnections()
	return nil
}
