package soak

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherbarrow/platform/storetest"
)

const storeLatency = 4 * time.Millisecond

// replicaLink is the way of one host to one replica. While it is cut, connections to it are refused.
type replicaLink struct {
	target, address string
	mu              sync.Mutex
	listener        net.Listener
	open            []net.Conn
}

func newReplicaLink(t *testing.T, target string) *replicaLink {
	l := &replicaLink{target: target, address: "127.0.0.1:0"}
	l.heal()
	l.address = l.listener.Addr().String()
	t.Cleanup(l.cut)
	return l
}

func (l *replicaLink) heal() {
	for l.listener = nil; l.listener == nil; time.Sleep(time.Millisecond) {
		l.listener, _ = net.Listen("tcp", l.address)
	}
	go func(listener net.Listener) {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			replica, err := net.Dial("tcp", l.target)
			if err != nil {
				_ = caller.Close()
				continue
			}
			l.mu.Lock()
			l.open = append(l.open, caller, replica)
			l.mu.Unlock()
			for _, ends := range [][2]net.Conn{{caller, replica}, {replica, caller}} {
				go func() {
					_, _ = io.Copy(ends[0], ends[1]) // ends with either connection
					_ = ends[0].Close()
				}()
			}
		}
	}(l.listener)
}

func (l *replicaLink) cut() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.open {
		_ = c.Close()
	}
	l.open = nil
}

// storeFront passes the calls of one host on to the store, or fails them. It names the host's links as the addresses
// of the replicas.
type storeFront struct {
	store  *storetest.Store
	server *httptest.Server
	mode   atomic.Int32
	silent atomic.Int64 // connections opened before this Unix time in ns get no answer
	links  []*replicaLink
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
		l := newReplicaLink(t, target)
		f.links = append(f.links, l)
		pairs = append(pairs, strconv.Quote(target), strconv.Quote(l.address))
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
