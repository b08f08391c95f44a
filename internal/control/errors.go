package control

import (
	"errors"
	"fmt"

	"github.com/twitchtv/twirp"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rollout"
	"heatherbarrow/internal/settings"
)

// Errors of control.
var (
	// ErrNoBundle means that no source has given this host a bundle yet.
	ErrNoBundle = errors.New("no bundle yet")
	// ErrTransfer means that content sent by a peer could not be restored.
	ErrTransfer = errors.New("bundle content cannot be restored")
	// ErrNotCoordinator means that another host coordinates the shares asked for.
	ErrNotCoordinator = errors.New("this host does not coordinate these shares")
)

// SourceError tells why a source gave no bundle.
type SourceError struct {
	Source string // "platform" or "peer HOST"
	Reason string
}

// Error implements error.
func (e *SourceError) Error() string { return e.Source + ": " + e.Reason }

// platformError converts an error of the platform or rollout layers.
func platformError(err error) *SourceError {
	reason := "cannot be reached"
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		reason = "an object that the bundle needs is missing"
	case errors.Is(err, rollout.ErrBadContent):
		reason = "bundle content does not match its hash"
	case errors.Is(err, ErrNoBundle):
		reason = "no bundle has been rolled out"
	}
	return &SourceError{Source: platformSource, Reason: reason}
}

// peerError converts an error of a Twirp call.
func peerError(host string, err error) *SourceError {
	reason := "cannot be reached"
	var twerr twirp.Error
	if errors.As(err, &twerr) && twerr.Code() != twirp.Internal {
		reason = string(twerr.Code()) + ": " + twerr.Msg()
	}
	return &SourceError{Source: "peer " + host, Reason: reason}
}

// RefusedBundleError tells why a bundle was not taken into force.
type RefusedBundleError struct {
	Source     string
	Generation uint64
	Reason     string
}

// Error implements error.
func (e *RefusedBundleError) Error() string {
	return fmt.Sprintf("generation %d from %s refused: %s", e.Generation, e.Source, e.Reason)
}

func refusedBundle(e *BundleReceived, err error) *RefusedBundleError {
	return &RefusedBundleError{Source: e.Source, Generation: e.Record.Generation, Reason: err.Error()}
}

// parseError keeps the path of the field that makes a bundle invalid.
func parseError(content []byte) (*bundle.Bundle, error) {
	b, err := bundle.Parse(content)
	var field *settings.FieldError
	if errors.As(err, &field) {
		return nil, fmt.Errorf("invalid bundle: %s", field.Error())
	}
	return b, err
}
