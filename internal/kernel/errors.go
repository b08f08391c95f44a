package kernel

import "errors"

var (
	errEmptyName     = errors.New("service has no name")
	errDuplicate     = errors.New("name is already registered")
	errNotRegistered = errors.New("no service is registered under this name")
	errCycle         = errors.New("dependencies form a cycle")
)
