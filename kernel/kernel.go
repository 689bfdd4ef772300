// Package kernel holds the services of a process in a table, in which they find each other by
// name. It starts and stops the services through fx.
package kernel

import (
	"context"
	"fmt"
	"sync"

	"go.uber.org/fx"
)

// Service is a component of the daemon. Start looks up the services that it depends on and returns
// when the service is ready. Stop ends everything that Start began.
type Service interface {
	Name() string
	Start(context.Context, *Kernel) error
	Stop(context.Context) error
}

// Kernel is a table of services by name. Its zero value is empty and ready to use. It is safe for
// concurrent use.
type Kernel struct {
	mu       sync.RWMutex
	services map[string]Service
}

// Add adds a service. It returns an error if there is a service with the same name.
func (k *Kernel) Add(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.services == nil {
		k.services = make(map[string]Service)
	}
	if _, taken := k.services[s.Name()]; taken {
		return fmt.Errorf("service %q is already registered", s.Name())
	}
	k.services[s.Name()] = s
	return nil
}

// Find returns the service with the given name. It returns an error if there is none or if it is
// not a T.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, fmt.Errorf("no service %q", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, fmt.Errorf("service %q has the unexpected type %T", name, s)
	}
	return t, nil
}

// Bind stores the service with the given name in *to. It returns the errors of Find.
func Bind[T any](k *Kernel, name string, to *T) error {
	s, err := Find[T](k, name)
	*to = s
	return err
}

// Run adds the services to k and appends their Start and Stop to l. They start in the order of ss
// and stop in the reverse order.
func Run(l fx.Lifecycle, k *Kernel, ss []Service) error {
	for _, s := range ss {
		if err := k.Add(s); err != nil {
			return err
		}
		l.Append(fx.Hook{
			OnStart: func(c context.Context) error {
				if err := s.Start(c, k); err != nil {
					return fmt.Errorf("start %s: %w", s.Name(), err)
				}
				return nil
			},
			OnStop: s.Stop,
		})
	}
	return nil
}
