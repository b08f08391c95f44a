// Package kernel holds the registry in which a program's services find each
// other by name. Services are provisioned, started and stopped in the order of
// their dependencies.
package kernel

import (
	"context"
	"fmt"
	"slices"
)

// Service is a named part of a program. A service may also implement
// Provisioner, Validator, Starter and Stopper.
type Service interface {
	// Name is the unique name under which other services look this one up.
	Name() string
}

// Dependent is a service that needs other services to be started before it.
type Dependent interface {
	// Dependencies lists the names of the services needed.
	Dependencies() []string
}

// Provisioner is a service that prepares itself, for example by looking up its
// dependencies, before any service starts.
type Provisioner interface {
	Provision(r *Registry) error
}

// Validator is a service that checks itself after provisioning.
type Validator interface {
	Validate() error
}

// Starter is a service with work of its own to start. Start returns once the
// service is usable; longer work runs in goroutines that end with ctx.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is a service that must stop before its dependencies do. ctx bounds
// how long a graceful stop may take.
type Stopper interface {
	Stop(ctx context.Context) error
}

// ServiceError says which service failed in which step.
type ServiceError struct {
	Service string
	Step    string
	Err     error
}

// Error implements error.
func (e *ServiceError) Error() string {
	return fmt.Sprintf("%s of service %q: %v", e.Step, e.Service, e.Err)
}

// Unwrap returns the service's own error.
func (e *ServiceError) Unwrap() error { return e.Err }

// Registry holds the services of one program. It is filled and started by one
// goroutine; lookups after that are safe from any goroutine.
type Registry struct {
	services map[string]Service
	order    []string
	started  []Service
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{services: make(map[string]Service)}
}

// Register adds a service. A name can be registered once.
func (r *Registry) Register(s Service) error {
	name := s.Name()
	if name == "" {
		return &ServiceError{Service: name, Step: "registration", Err: errEmptyName}
	}
	if _, exists := r.services[name]; exists {
		return &ServiceError{Service: name, Step: "registration", Err: errDuplicate}
	}
	r.services[name] = s
	r.order = append(r.order, name)
	return nil
}

// Lookup returns the service with the given name as type T.
func Lookup[T any](r *Registry, name string) (T, error) {
	var zero T
	s, ok := r.services[name]
	if !ok {
		return zero, &ServiceError{Service: name, Step: "lookup", Err: errNotRegistered}
	}
	t, ok := s.(T)
	if !ok {
		return zero, &ServiceError{Service: name, Step: "lookup", Err: fmt.Errorf("service is a %T, not a %T", s, zero)}
	}
	return t, nil
}

// Provision provisions and validates all services in dependency order.
func (r *Registry) Provision() error {
	ordered, err := r.sorted()
	if err != nil {
		return err
	}
	for _, s := range ordered {
		if p, ok := s.(Provisioner); ok {
			if err := p.Provision(r); err != nil {
				return &ServiceError{Service: s.Name(), Step: "provisioning", Err: err}
			}
		}
		if v, ok := s.(Validator); ok {
			if err := v.Validate(); err != nil {
				return &ServiceError{Service: s.Name(), Step: "validation", Err: err}
			}
		}
	}
	return nil
}

// Start starts all services in dependency order. When one fails, those already
// started are stopped again.
func (r *Registry) Start(ctx context.Context) error {
	ordered, err := r.sorted()
	if err != nil {
		return err
	}
	for _, s := range ordered {
		if st, ok := s.(Starter); ok {
			if err := st.Start(ctx); err != nil {
				failure := &ServiceError{Service: s.Name(), Step: "start", Err: err}
				_ = r.Stop(ctx)
				return failure
			}
		}
		r.started = append(r.started, s)
	}
	return nil
}

// Stop stops the started services in reverse order and returns the first error.
func (r *Registry) Stop(ctx context.Context) error {
	var first error
	for _, s := range slices.Backward(r.started) {
		st, ok := s.(Stopper)
		if !ok {
			continue
		}
		if err := st.Stop(ctx); err != nil && first == nil {
			first = &ServiceError{Service: s.Name(), Step: "stop", Err: err}
		}
	}
	r.started = nil
	return first
}

// sorted returns the services so that each follows its dependencies.
func (r *Registry) sorted() ([]Service, error) {
	const (
		visiting = 1
		done     = 2
	)
	state := make(map[string]int, len(r.services))
	var ordered []Service
	var visit func(name string) error
	visit = func(name string) error {
		s, ok := r.services[name]
		if !ok {
			return &ServiceError{Service: name, Step: "lookup", Err: errNotRegistered}
		}
		switch state[name] {
		case visiting:
			return &ServiceError{Service: name, Step: "ordering", Err: errCycle}
		case done:
			return nil
		}
		state[name] = visiting
		if d, ok := s.(Dependent); ok {
			for _, dependency := range d.Dependencies() {
				if err := visit(dependency); err != nil {
					return err
				}
			}
		}
		state[name] = done
		ordered = append(ordered, s)
		return nil
	}
	for _, name := range r.order {
		if err := visit(name); err != nil {
			return nil, err
		}
	}
	return ordered, nil
}
