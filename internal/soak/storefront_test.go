package soak

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"heatherbarrow/internal/gateway/netio/relaytest"
	"heatherbarrow/platform/storetest"
)

const storeLatency = 4 * time.Millisecond

// storeFront passes the calls of one host on to the store, or fails them. It names the host's links as the addresses
// of the replicas.
type storeFront struct {
	store  *storetest.Store
	server *httptest.Server
	mode   atomic.Int32
	silent atomic.Int64       // connections opened before this Unix time in ns get no answer
	links  []*relaytest.Relay // this host's ways to the replicas
	rename *strings.Replacer
}

const (
	frontOpen int32 = iota
	frontRejects
	frontLimits
	frontResets
	frontSilent
	frontModes
)

type openedKey struct{}

func newStoreFront(t *testing.T, store *storetest.Store, replicas []string) *storeFront {
	f := &storeFront{store: store}
	var pairs []string
	for _, target := range replicas {
		l := newRelay(t, target)
		f.links = append(f.links, l)
		pairs = append(pairs, strconv.Quote(target), strconv.Quote(l.Address()))
	}
	f.rename = strings.NewReplacer(pairs...)
	f.server = httptest.NewUnstartedServer(f)
	f.server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, openedKey{}, time.Now().UnixNano())
	}
	f.server.Start()
	t.Cleanup(f.server.CloseClientConnections)
	return f
}

// ServeHTTP implements http.Handler.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	switch f.mode.Load() {
	case frontRejects:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case frontLimits:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case frontResets:
		panic(http.ErrAbortHandler)
	case frontSilent:
		<-r.Context().Done()
		return
	}
	opened, _ := r.Context().Value(openedKey{}).(int64)
	buffered := httptest.NewRecorder()
	f.store.ServeHTTP(buffered, r)
	if opened < f.silent.Load() || f.mode.Load() == frontSilent {
		<-r.Context().Done()
		return
	}
	maps.Copy(w.Header(), buffered.Header())
	w.WriteHeader(buffered.Code)
	_, _ = f.rename.WriteString(w, buffered.Body.String())
}

// frontApart returns the address at which the first host reads the store. It finds links of its own to the replicas there.
func (g *streamRig) frontApart() string {
	var links []string
	for _, r := range g.replicas {
		links = append(links, r.link.Address())
	}
	front := newStoreFront(g.t, g.store, links)
	for i, r := range g.replicas {
		r.apart = front.links[i]
	}
	return front.server.Listener.Addr().String()
}
