package claims

import (
	"context"
	"flag"

	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/standin/inprocess"
	standin "heatherbarrow/internal/standin/platform"
)

func newPlatform() (*standin.Server, *objectstore.Client) {
	server := standin.New()
	return server, objectstore.NewClient("http://platform", inprocess.Client(server.Handler()))
}

// fault is a fault that is injected into one store call.
type fault int

const (
	faultNone         fault = iota
	faultNotApplied         // the call fails; a write takes no effect
	faultResponseLost       // the write takes effect, but its response is lost
	faultAppliedLate        // the call fails, and the write takes effect later
)

// faultyStore is the store of one host, with faults that the test chooses.
type faultyStore struct {
	Store
	chooseFault func(write bool) fault // may run steps of other hosts, as if this host were paused
	lateWrites  *[]func()              // receives the writes with faultAppliedLate
}

func (s *faultyStore) read(call func() error) error {
	if s.chooseFault(false) != faultNone {
		return objectstore.ErrUnavailable
	}
	err := call()
	if s.chooseFault(false) != faultNone {
		return objectstore.ErrUnavailable
	}
	return err
}

func (s *faultyStore) write(call func() error) error {
	switch s.chooseFault(true) {
	case faultNotApplied:
		return objectstore.ErrUncertain
	case faultAppliedLate:
		*s.lateWrites = append(*s.lateWrites, func() { _ = call() })
		return objectstore.ErrUncertain
	case faultResponseLost:
		_ = call()
		return objectstore.ErrUncertain
	}
	return call()
}

func (s *faultyStore) Get(ctx context.Context, kind, name string) (o objectstore.Object, err error) {
	err = s.read(func() error { o, err = s.Store.Get(ctx, kind, name); return err })
	return o, err
}

func (s *faultyStore) List(ctx context.Context, kind, prefix string) (o []objectstore.Object, err error) {
	err = s.read(func() error { o, err = s.Store.List(ctx, kind, prefix); return err })
	return o, err
}

func (s *faultyStore) Create(ctx context.Context, kind, name string, v any) (o objectstore.Object, err error) {
	err = s.write(func() error {
		created, err := s.Store.Create(ctx, kind, name, v)
		o = created
		return err
	})
	return o, err
}

func (s *faultyStore) Update(ctx context.Context, kind, name string, version uint64, v any) (o objectstore.Object, err error) {
	err = s.write(func() error {
		updated, err := s.Store.Update(ctx, kind, name, version, v)
		o = updated
		return err
	})
	return o, err
}

func (s *faultyStore) Delete(ctx context.Context, kind, name string, version uint64) error {
	return s.write(func() error { return s.Store.Delete(ctx, kind, name, version) })
}

// pagedStore returns ErrTooLarge for lists of more than maxObjects objects. The real
// client limits the size in bytes.
type listLimitStore struct {
	Store
	maxObjects int
}

func (s *listLimitStore) List(ctx context.Context, kind, prefix string) ([]objectstore.Object, error) {
	o, err := s.Store.List(ctx, kind, prefix)
	if len(o) > s.maxObjects {
		return nil, objectstore.ErrTooLarge
	}
	return o, err
}

// Sets a fixed seed, so that every run tests the same cases. Flags on the command line
// take precedence.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}
