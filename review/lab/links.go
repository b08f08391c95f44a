//go:build review

package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"regexp"
	"strconv"
	"sync"
)

// link is the path of one host to one replica: a proxy that can be cut.
type link struct {
	target  string
	address string

	mu       sync.Mutex
	cut      bool
	listener net.Listener
	conns    map[net.Conn]struct{}
}

func newLink(target string) (*link, error) {
	l := &link{target: target, address: "127.0.0.1:0", conns: make(map[net.Conn]struct{})}
	if err := l.open(); err != nil {
		return nil, err
	}
	return l, nil
}

// open accepts connections. The caller holds l.mu, or is the only one that knows l.
func (l *link) open() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.listener, l.address = listener, listener.Addr().String()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
	return nil
}

// carry copies a connection both ways. An end or a reset at one side shows at the other.
func (l *link) carry(near net.Conn) {
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(near)
		return
	}
	l.mu.Lock()
	if l.cut {
		l.mu.Unlock()
		reset(near)
		reset(far)
		return
	}
	l.conns[near], l.conns[far] = struct{}{}, struct{}{}
	l.mu.Unlock()
	var both sync.WaitGroup
	for _, way := range [][2]net.Conn{{near, far}, {far, near}} {
		both.Go(func() {
			if _, err := io.Copy(way[1], way[0]); err != nil {
				reset(way[0])
				reset(way[1])
				return
			}
			_ = way[1].(*net.TCPConn).CloseWrite()
		})
	}
	both.Wait()
	l.mu.Lock()
	delete(l.conns, near)
	delete(l.conns, far)
	l.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// setCut cuts the path, so that new connections are refused and open ones reset, or heals it.
func (l *link) setCut(cut bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut == cut {
		return nil
	}
	l.cut = cut
	if !cut {
		return l.open()
	}
	_ = l.listener.Close()
	for c := range l.conns {
		reset(c)
	}
	return nil
}

// view is the store as one host sees it: the addresses of replicas are those of the host's links to them.
type view struct {
	server *httptest.Server

	mu    sync.Mutex
	cut   bool
	links map[string]*link // by address of the replica
}

var addressField = regexp.MustCompile(`"address":"([^"]+)"`)

func newView(store string) *view {
	v := &view{links: make(map[string]*link)}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	proxy.ModifyResponse = v.rewrite
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	v.server = httptest.NewServer(proxy)
	return v
}

func (v *view) rewrite(response *http.Response) error {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	body = addressField.ReplaceAllFunc(body, func(field []byte) []byte {
		target := string(addressField.FindSubmatch(field)[1])
		address, err := v.linkTo(target)
		if err != nil {
			return field
		}
		return []byte(`"address":"` + address + `"`)
	})
	response.Body = io.NopCloser(bytes.NewReader(body))
	response.ContentLength = int64(len(body))
	response.Header.Set("Content-Length", strconv.Itoa(len(body)))
	return nil
}

func (v *view) linkTo(target string) (string, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if l, ok := v.links[target]; ok {
		return l.address, nil
	}
	l, err := newLink(target)
	if err != nil {
		return "", err
	}
	v.links[target] = l
	if v.cut {
		return l.address, l.setCut(true)
	}
	return l.address, nil
}

// setCut cuts the host off from all replicas, or ends that.
func (v *view) setCut(cut bool) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut = cut
	for _, l := range v.links {
		if err := l.setCut(cut); err != nil {
			return err
		}
	}
	return nil
}
