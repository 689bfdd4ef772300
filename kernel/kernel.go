// Package kernel holds the services of one process, which find each other by
// name, and starts and stops them through fx.
package kernel

import (
	"context"
	"fmt"
	"sync"

	"go.uber.org/fx"
)

// Service is one role of the daemon. Start finds the services it needs and
// returns once it serves; what it starts ends with Stop.
type Service interface {
	Name() string
	Start(context.Context, *Kernel) error
	Stop(context.Context) error
}

// Kernel is the table of services. Its zero value is empty and ready.
type Kernel struct {
	mu       sync.RWMutex
	services map[string]Service
}

// Add enters a service. A name that is taken is an error.
func (k *Kernel) Add(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.services == nil {
		k.services = make(map[string]Service)
	}
	if _, taken := k.services[s.Name()]; taken {
		return fmt.Errorf("service %q is there already", s.Name())
	}
	k.services[s.Name()] = s
	return nil
}

// Find returns the service of a name as a T.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var none T
	s, ok := k.services[name]
	if !ok {
		return none, fmt.Errorf("no service %q", name)
	}
	t, ok := s.(T)
	if !ok {
		return none, fmt.Errorf("service %q is a %T", name, s)
	}
	return t, nil
}

// Bind puts the service of a name into a field.
func Bind[T any](k *Kernel, name string, to *T) error {
	s, err := Find[T](k, name)
	*to = s
	return err
}

// Run enters the services and ties their start and stop, in order, to fx.
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
