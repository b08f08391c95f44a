package faults

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// link is a connection between two processes that can be cut, slowed and healed.
type link struct {
	t      *testing.T
	proxy  *toxiproxy.Proxy
	listen string
}

// newLink opens a proxy to the address upstream on a free port. Another process
// can take a port between its choice and its use, so a few are tried.
func newLink(t *testing.T, server *toxiproxy.ApiServer, upstream string) *link {
	t.Helper()
	const tries = 5
	var err error
	for range tries {
		listen := freeAddresses(t, 1)[0]
		proxy := toxiproxy.NewProxy(server, listen, listen, upstream)
		if err = proxy.Start(); err == nil {
			t.Cleanup(proxy.Stop)
			return &link{t: t, proxy: proxy, listen: listen}
		}
	}
	require.NoError(t, err)
	return nil
}

func newProxyServer() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
}

// cut drops all data in both directions and keeps connections open, as a
// partition does.
func (l *link) cut() {
	l.add("timeout", "upstream", `{"timeout":0}`)
	l.add("timeout", "downstream", `{"timeout":0}`)
}

// slow limits what callers of the link send.
func (l *link) slow(kilobytesPerSecond int) {
	l.add("bandwidth", "upstream", fmt.Sprintf(`{"rate":%d}`, kilobytesPerSecond))
}

func (l *link) add(kind, direction, attributes string) {
	toxic := fmt.Sprintf(`{"name":"%s-%s","type":%q,"stream":%q,"attributes":%s}`, kind, direction, kind, direction, attributes)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	if err != nil {
		l.t.Errorf("add toxic: %v", err)
	}
}

// reaches tells whether the link leads to a replica of the zone.
func (l *link) reaches(c *cluster, zone string) bool {
	for _, standIns := range [][]*standIn{c.engines, c.services} {
		for i, s := range standIns {
			if s.link.listen == l.proxy.Upstream {
				return zoneOf(i) == zone
			}
		}
	}
	return false
}

func (l *link) heal() { l.proxy.Toxics.ResetToxics(context.Background()) }

// put sends a JSON document to a stand-in's switch.
func put(t *testing.T, address, path, document string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+address+path, strings.NewReader(document))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}
